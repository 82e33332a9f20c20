#ifndef TESTS_SUPPORT_STORE_STANDIN_STANDIN_SERVER_H_
#define TESTS_SUPPORT_STORE_STANDIN_STANDIN_SERVER_H_

#include <QJsonObject>
#include <QPointer>
#include <QTcpServer>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "http_connection.h"
#include "kv_state.h"

namespace jayrill::standin {

/// Server that speaks the JSON form of etcd v3 with its faults under control.
///
/// `POST /standin/mode` sets any of `{"down", "delay_ms", "lose_answers",
/// "error_rate"}`; `GET /standin/counters` counts calls by path.
class standin_server {
 public:
  struct mode {
    bool down = false;  ///< Connections are cut, watches as well.
    int delay_ms = 0;   ///< From a request to its effect and answer.
    /// The next transactions take effect and their connections are cut.
    int lose_answers = 0;
    /// Part of the calls that fail with status 503; half of these take effect.
    double error_rate = 0;
  };

  explicit standin_server(std::uint64_t seed);

  /// Listens on 127.0.0.1; \p port 0 means any.
  /// \returns the port, or 0 when it is taken.
  std::uint16_t Listen(std::uint16_t port);

  void set_mode(mode next);
  QJsonObject Counters() const;

 private:
  struct watcher {
    QPointer<http_connection> connection;
    QByteArray begin;
    QByteArray end;
  };
  using handler = kv_state::answer (kv_state::*)(const QJsonObject&);

  void OnConnection();
  void OnRequest(http_connection& caller,
                 const http_connection::request& request);
  void OnMode(const QJsonObject& request);
  void Execute(http_connection& caller,
               const QByteArray& path,
               const QJsonObject& request);
  void StartWatch(http_connection& caller, const QJsonObject& request);
  void OnChange(const kv_state::change& change);
  void Send(const watcher& target, const kv_state::change& change);
  kv_state::answer Call(const QByteArray& path, const QJsonObject& request);

  mode mode_;
  std::mt19937_64 random_;
  std::map<std::string, std::int64_t> counters_;
  std::vector<QPointer<http_connection>> connections_;
  std::vector<watcher> watchers_;
  kv_state state_;
  QTcpServer server_;
};

}  // namespace jayrill::standin

#endif  // TESTS_SUPPORT_STORE_STANDIN_STANDIN_SERVER_H_
