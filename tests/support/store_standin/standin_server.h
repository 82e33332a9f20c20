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

/// Server that speaks the JSON form of etcd v3 and injects faults on request.
///
/// `POST /standin/mode` sets the fields of `mode` that its JSON body names:
/// `down`, `delay_ms`, `lose_answers`, `error_rate`. `GET /standin/counters`
/// returns the number of calls by path. Must be used on the Qt thread that
/// creates it only.
class standin_server {
 public:
  struct mode {
    bool down = false;  ///< Closes the connections of calls and watches.
    int delay_ms = 0;   ///< From a request to its effect and answer.
    /// Number of next transactions that take effect but whose connection is
    /// closed without an answer.
    int lose_answers = 0;
    /// Share of calls that fail with status 503; half of them take effect.
    double error_rate = 0;
  };

  explicit standin_server(std::uint64_t seed);

  /// Listens on 127.0.0.1; \p port 0 means any free port.
  /// \returns the port, or 0 when \p port is in use.
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
  /// Runs a call and answers it, subject to the faults of the current mode.
  void Execute(http_connection& caller,
               const QByteArray& path,
               const QJsonObject& request);
  void StartWatch(http_connection& caller, const QJsonObject& request);
  void OnChange(const kv_state::change& change);
  void Send(const watcher& target, const kv_state::change& change);
  /// Runs a call on the state, without faults.
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
