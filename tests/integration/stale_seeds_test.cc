#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTemporaryDir>
#include <optional>
#include <string>
#include <vector>

#include "agent_fixture.h"
#include "jayrill/membership/entry_record.h"
#include "platform/roles.h"
#include "platform_store_standin.h"

namespace jayrill {
namespace {

/// An address at which nobody listens.
constexpr char kStaleSeed[] = "127.0.0.1:1";

class stale_seeds_test : public agent_fixture {
 protected:
  /// Writes the settings file with \p seeds and the address of the store.
  void WriteSettings(const std::vector<std::string>& seeds) {
    QJsonArray seed_list;
    for (const std::string& seed : seeds) {
      seed_list.append(QString::fromStdString(seed));
    }
    const QJsonObject store{
        {QStringLiteral("address"), QString::fromStdString(store_.address())}};
    QFile file(SettingsPath());
    ASSERT_TRUE(file.open(QIODevice::WriteOnly));
    file.write(QJsonDocument(QJsonObject{{QStringLiteral("seeds"), seed_list},
                                         {QStringLiteral("platform"), store}})
                   .toJson());
  }

  /// Registers the entry of the fixture in the store.
  void RegisterEntry() {
    entry_record record;
    record.id = "e4";
    record.process = incarnation{1};
    record.rpc_address = entry.address();
    store_.Put(kEntriesPrefix + record.id, EncodeEntryRecord(record));
  }

  void LaunchWithStaleSeed() {
    agent_settings settings;
    settings.id = "a1";
    settings.entries = {kStaleSeed};
    adapter_.emplace(SettingsPath().toStdString(), time);
    agent = std::make_unique<agent_process>(
        settings, time, adapter_->MakeOverrides(lease_settings()));
    ASSERT_TRUE(agent->Start());
  }

  bool IsConnected() {
    return WaitFor([&] { return !entry.Record().hellos.empty(); });
  }

  QString SettingsPath() const {
    return folder_.filePath(QStringLiteral("local.json"));
  }

  QTemporaryDir folder_;
  platform::platform_store_standin store_;
  std::optional<platform::agent_adapter> adapter_;
};

// Guards against an agent that starts while its seeds are stale and stays
// without an entry, though the entries have records in the store.
TEST_F(stale_seeds_test, FindsAnEntryByItsRecord) {
  WriteSettings({kStaleSeed});
  RegisterEntry();
  LaunchWithStaleSeed();
  EXPECT_TRUE(IsConnected());
}

// Guards against a record that cannot be read, or that names another entry,
// and that hides the others.
TEST_F(stale_seeds_test, FindsAnEntryBesideRecordsOfOtherWriters) {
  WriteSettings({kStaleSeed});
  store_.Put(std::string(kEntriesPrefix) + "e1", "no record");
  store_.Put(std::string(kEntriesPrefix) + "e2",
             R"({"id":"e9","process":"1","rpc_address":"127.0.0.1:2"})");
  store_.PutOdd(std::string(kEntriesPrefix) + "e3",
                QJsonObject{{QStringLiteral("key"),
                             QStringLiteral("/jayrill/entries/e3")},
                            {QStringLiteral("value"), 4}});
  RegisterEntry();
  LaunchWithStaleSeed();
  EXPECT_TRUE(IsConnected());
}

// Guards against an agent that reads its settings file at its start only, while
// the store cannot be read.
TEST_F(stale_seeds_test, FindsAnEntryByTheSettingsFileWhileTheStoreIsDown) {
  store_.SetDown(true);
  WriteSettings({kStaleSeed});
  LaunchWithStaleSeed();
  ASSERT_TRUE(WaitFor([&] { return agent->http_port() != 0; }));
  WriteSettings({entry.address()});
  EXPECT_TRUE(IsConnected());
}

// Guards against a look-up that is given up when the store has failed once.
TEST_F(stale_seeds_test, FindsAnEntryOnceTheStoreIsBack) {
  store_.SetDown(true);
  WriteSettings({});
  LaunchWithStaleSeed();
  ASSERT_TRUE(WaitFor([&] { return store_.refused() > 1; }));
  EXPECT_TRUE(entry.Record().hellos.empty());
  store_.SetDown(false);
  RegisterEntry();
  EXPECT_TRUE(IsConnected());
}

}  // namespace
}  // namespace jayrill
