#ifndef TESTS_SCENARIO_FORWARDER_H_
#define TESTS_SCENARIO_FORWARDER_H_

#include <QHostAddress>
#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <vector>

namespace jayrill::scenario {

/// Forwards TCP connections to one address and can cut them in the manner of a
/// broken network.
class forwarder : public QObject {
 public:
  enum class mode {
    kPass,   ///< Bytes go through.
    kStall,  ///< Bytes wait, connections stay open, as behind a dropped route.
    kClose,  ///< Connections are closed and new ones refused at once.
  };

  /// Listens on 127.0.0.1 on a port of the system's choice.
  forwarder(const QHostAddress& host, quint16 port);

  quint16 port() const { return server_.serverPort(); }

  /// Changes the mode. After kStall, kPass lets the waiting bytes through, as
  /// a healed route does.
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
