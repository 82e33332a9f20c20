#ifndef TESTS_SOAK_LINK_H_
#define TESTS_SOAK_LINK_H_

#include <QElapsedTimer>
#include <QObject>
#include <QString>
#include <QTcpServer>
#include <QTcpSocket>
#include <chrono>
#include <memory>
#include <vector>

namespace jayrill::soak {

/// How a link treats the ends of its connections.
struct link_options {
  /// The end of a connection follows its last bytes this much later.
  std::chrono::milliseconds end_delay{0};
  /// Connections that are made during a cut are tried again this long after
  /// their begin, and then after twice the time since the last try, as a kernel
  /// does (1, 3, 7 s); zero: they reach the target at once, and their bytes
  /// when the cut has healed.
  std::chrono::milliseconds connect_retry{0};

  auto operator<=>(const link_options&) const = default;
};

/// Forwards TCP connections to one address, and harms them as a network does.
/// Bytes and ends of connections that are held back arrive when the link heals.
/// Runs on the event loop of its thread.
class link : public QObject {
 public:
  /// A way that bytes take.
  enum class direction { kToTarget, kFromTarget };

  /// Forwards to \p target, an address as in "127.0.0.1:80".
  explicit link(QString target, link_options options = {});

  QString Address() const;

  /// Holds back all bytes on this way until as many calls of Heal() as of
  /// Cut() were made for it.
  void Cut(direction way);
  void Heal(direction way);

  /// Holds back for good what the connections that are open now carry on this
  /// way. New connections work.
  void SilenceOpenConnections(direction way);

  /// Resets the connections that are open now.
  void ResetOpenConnections();

  /// Resets all connections, also those that are made later, until as many
  /// calls of Admit() were made.
  void Refuse();
  void Admit() { --refusals_; }

 private:
  /// One way of a connection.
  struct stream {
    QTcpSocket* from = nullptr;
    QTcpSocket* to = nullptr;
    bool is_silent = false;
  };
  struct connection {
    std::unique_ptr<QTcpSocket> caller;
    std::unique_ptr<QTcpSocket> target;
    stream to_target;
    stream from_target;
    QElapsedTimer age;
    bool is_dialled = false;
    bool is_ending = false;
  };
  using connection_ptr = std::shared_ptr<connection>;

  void Accept();
  /// Connects to the target, now or at a later try.
  void Dial(const connection_ptr& open);
  std::chrono::milliseconds UntilNextTry(const connection& open) const;
  void Forward(const connection_ptr& open);
  void Forward(const stream& way, bool is_cut);
  bool HasEnded(const stream& way, bool is_cut) const;
  /// Ends both sides after the delay of the options.
  void End(const connection_ptr& open);
  void Remove(const connection_ptr& open);
  bool IsCut(direction way) const;

  QString target_;
  link_options options_;
  QTcpServer server_;
  std::vector<connection_ptr> connections_;
  int cuts_to_target_ = 0;
  int cuts_from_target_ = 0;
  int refusals_ = 0;
};

}  // namespace jayrill::soak

#endif  // TESTS_SOAK_LINK_H_
