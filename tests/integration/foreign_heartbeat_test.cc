#include <QHttpServer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <string>

#include "agent_fixture.h"
#include "platform/http_client.h"
#include "platform/roles.h"

namespace jayrill {
namespace {

constexpr char kMinion[] = "i-7f3a91c2";
constexpr std::int64_t kBorn = 1'700'000'000'000;
constexpr int kCpuMillis = 16'000;
constexpr int kLaterCpuMillis = 12'000;

QString Text(const char* text) {
  return QString::fromUtf8(text);
}

/// A minion that answers requests for reports and runs nothing.
class idle_minion {
 public:
  idle_minion() {
    server_.route(Text("/v1/hold"), [](const QHttpServerRequest& request) {
      if (request.value("X-Target-Instance") != kMinion) {
        return QHttpServerResponse(
            static_cast<QHttpServerResponse::StatusCode>(421));
      }
      return QHttpServerResponse(QJsonObject{{Text("clock_ms"), 5},
                                             {Text("born"), qint64{kBorn}},
                                             {Text("running"), QJsonArray()},
                                             {Text("finished"), QJsonArray()}});
    });
    port_ = server_.listen(QHostAddress::LocalHost);
  }
  std::uint16_t port() const { return port_; }

 private:
  QHttpServer server_;
  std::uint16_t port_ = 0;
};

/// A heartbeat with the fields that the platform lists.
QJsonObject Heartbeat(std::uint16_t port,
                      std::int64_t sequence,
                      int cpu_millis = kCpuMillis) {
  return {{Text("service"), Text("quotes")},
          {Text("address"), Text("127.0.0.1:") + QString::number(port)},
          {Text("zone"), Text("east")},
          {Text("version"), Text("v1")},
          {Text("capacity"), 8},
          {Text("state"), Text("ready")},
          {Text("cold_remaining_ms"), 0},
          {Text("headroom"), QJsonObject{{Text("cpu"), cpu_millis},
                                         {Text("mem_mb"), 64},
                                         {Text("gpu"), 0}}},
          {Text("labels"), QJsonArray{Text("a"), Text("r1")}},
          {Text("born"), qint64{kBorn}},
          {Text("sequence"), qint64{sequence}}};
}

/// A heartbeat of another writer: from the minion's one to what is sent.
struct writer_case {
  std::string name;
  std::string instance;
  void (*change)(QJsonObject& heartbeat);
};

class foreign_heartbeat_test : public agent_fixture,
                               public testing::WithParamInterface<writer_case> {
 protected:
  void LaunchWithPlatform() {
    entry.SetWelcome(Config(1), false);
    agent_settings settings;
    settings.id = "a1";
    settings.data_centre = "east";
    settings.entries = {entry.address()};
    agent = std::make_unique<agent_process>(
        settings, time, adapter_.MakeOverrides(lease_settings()));
    ASSERT_TRUE(agent->Start());
  }

  /// Sends \p heartbeat of \p instance to the agent and waits for the answer.
  void Send(const std::string& instance, const QJsonObject& heartbeat) {
    platform::http_call call;
    call.method = "PUT";
    call.address = "127.0.0.1:" + std::to_string(agent->http_port());
    call.path = "/v1/instances/" + instance;
    call.body = heartbeat;
    bool is_answered = false;
    client_.Send(call, [&](const auto&) { is_answered = true; });
    ASSERT_TRUE(WaitFor([&] { return is_answered; }));
  }

  /// Sends the heartbeat of the other writer.
  void SendForeignHeartbeat() {
    QJsonObject foreign = Heartbeat(minion_.port(), 2);
    GetParam().change(foreign);
    Send(GetParam().instance, foreign);
  }

  /// \returns true once the entry has been told of the room \p cpu_millis.
  bool IsReported(std::uint32_t cpu_millis) {
    return WaitFor(
        [&] { return entry.Record().status.room.cpu_millis == cpu_millis; });
  }

  platform::agent_adapter adapter_{"", time};
  platform::http_client client_;
  idle_minion minion_;
};

// Guards against a heartbeat of another writer after which those of the minion
// have no effect any more, so that its agent serves nothing.
TEST_P(foreign_heartbeat_test, TheMinionStaysInUse) {
  LaunchWithPlatform();
  Send(kMinion, Heartbeat(minion_.port(), 1));
  ASSERT_TRUE(IsReported(kCpuMillis));
  SendForeignHeartbeat();
  Send(kMinion, Heartbeat(minion_.port(), 3, kLaterCpuMillis));
  EXPECT_TRUE(IsReported(kLaterCpuMillis));
  EXPECT_EQ(entry.Record().status.service, "quotes");
}

// Guards against a heartbeat of another writer that comes first and keeps the
// minion out.
TEST_P(foreign_heartbeat_test, TheMinionComesIntoUse) {
  LaunchWithPlatform();
  SendForeignHeartbeat();
  Send(kMinion, Heartbeat(minion_.port(), 3, kLaterCpuMillis));
  EXPECT_TRUE(IsReported(kLaterCpuMillis));
  EXPECT_EQ(entry.Record().status.service, "quotes");
}

/// Names an address of this machine at which nobody listens.
void MoveAway(QJsonObject& heartbeat) {
  heartbeat.insert(Text("address"), Text("127.0.0.1:1"));
}

/// Names a start that is later than that of the minion.
void BeLater(QJsonObject& heartbeat) {
  heartbeat.insert(Text("born"), qint64{kBorn + 1000});
}

INSTANTIATE_TEST_SUITE_P(
    writers,
    foreign_heartbeat_test,
    testing::Values(
        writer_case{"another_service", "i-0badcafe",
                    [](QJsonObject& heartbeat) {
                      BeLater(heartbeat);
                      MoveAway(heartbeat);
                      heartbeat.insert(Text("service"), Text("bomi73a"));
                    }},
        writer_case{"nobody_listens", "i-0badcafe",
                    [](QJsonObject& heartbeat) {
                      BeLater(heartbeat);
                      MoveAway(heartbeat);
                    }},
        writer_case{"address_of_the_minion", "i-0badcafe", &BeLater},
        writer_case{"name_and_address_of_the_minion", kMinion, &BeLater},
        writer_case{"no_zone", "i-0badcafe",
                    [](QJsonObject& heartbeat) {
                      BeLater(heartbeat);
                      heartbeat.remove(Text("zone"));
                    }},
        writer_case{"version_of_another_type", "i-0badcafe",
                    [](QJsonObject& heartbeat) {
                      BeLater(heartbeat);
                      heartbeat.insert(Text("version"), 1);
                    }}),
    [](const auto& param) { return param.param.name; });

}  // namespace
}  // namespace jayrill
