#ifndef TESTS_SCENARIO_FORWARDER_H_
#define TESTS_SCENARIO_FORWARDER_H_

#include <QHostAddress>
#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <vector>

namespace jayrill::scenario {

/// Forwards TCP connections to one address and can interrupt them like a broken
/// network. Works on the event loop of its thread.
class forwarder : public QObject {
 public:
  enum class mode {
    kPass,   ///< Bytes go through.
    kStall,  ///< Bytes wait and connections stay open, as when packets are
             ///< dropped.
    kClose,  ///< Connections are closed and new ones refused at once.
  };

  /// Listens on 127.0.0.1 on a free port and forwards to \p host and \p port.
  forwarder(const QHostAddress& host, quint16 port);

  quint16 port() const { return server_.serverPort(); }

  /// Changes the mode. kPass after kStall forwards the bytes that have waited.
  void SetMode(mode new_mode);

 private:
  struct connection {
    QTcpSocket* client_side = nullptr;
    QTcpSocket* target_side = nullptr;
  };

  void Accept();
  void ForwardBytes(QTcpSocket* from, QTcpSocket* to);
  void CloseConnection(QTcpSocket* client_side);

  QHostAddress host_;
  quint16 target_port_;
  QTcpServer server_;
  std::vector<connection> connections_;
  mode mode_ = mode::kPass;
};

}  // namespace jayrill::scenario

#endif  // TESTS_SCENARIO_FORWARDER_H_
