#ifndef JAYRILL_TESTS_INTEGRATION_AGENT_STORE_FIXTURE_H_
#define JAYRILL_TESTS_INTEGRATION_AGENT_STORE_FIXTURE_H_

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTemporaryDir>
#include <memory>
#include <optional>
#include <string>

#include "agent_fixture.h"
#include "platform/roles.h"
#include "platform_store_standin.h"

namespace jayrill {

/// An agent of the data centre east that reads its store, and an entry that
/// knows the configuration and never confirms which data centres are out.
class agent_store_fixture : public agent_fixture {
 protected:
  void LaunchWithStore(agent_settings settings = {}) {
    const QJsonObject platform{
        {QStringLiteral("address"), QString::fromStdString(store.address())}};
    const QString path = folder_.filePath(QStringLiteral("local.json"));
    QFile file(path);
    ASSERT_TRUE(file.open(QIODevice::WriteOnly));
    file.write(
        QJsonDocument(QJsonObject{{QStringLiteral("platform"), platform}})
            .toJson());
    file.close();
    entry.SetWelcome(Config(1), false);
    settings.id = "a1";
    settings.data_centre = "east";
    settings.entries = {entry.address()};
    adapter_.emplace(path.toStdString(), time);
    agent_overrides overrides = adapter_->MakeOverrides(lease_settings());
    overrides.minion = nullptr;  // The sample backend is no minion with leases.
    agent = std::make_unique<agent_process>(settings, time, overrides);
    ASSERT_TRUE(agent->Start());
    sample_settings minion_settings;
    minion_settings.slots = 2;
    minion_settings.agent_address =
        "127.0.0.1:" + std::to_string(agent->http_port());
    minion = std::make_unique<sample_backend>(minion_settings, time);
    ASSERT_TRUE(minion->Start());
    ASSERT_TRUE(WaitFor([&] { return entry.Record().status.slots == 2; }));
  }

  platform::platform_store_standin store;

 private:
  QTemporaryDir folder_;
  std::optional<platform::agent_adapter> adapter_;
};

}  // namespace jayrill

#endif  // JAYRILL_TESTS_INTEGRATION_AGENT_STORE_FIXTURE_H_
