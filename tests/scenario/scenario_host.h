#ifndef TESTS_SCENARIO_SCENARIO_HOST_H_
#define TESTS_SCENARIO_SCENARIO_HOST_H_

#include <QNetworkAccessManager>
#include <QProcess>
#include <QString>
#include <QStringList>
#include <QTcpServer>
#include <QTcpSocket>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "forwarder.h"

namespace jayrill::scenario {

/// Resources that a process has used, as /proc reports them.
struct process_usage {
  long resident_kib = 0;
  long cpu_ms = 0;
  long io_bytes = 0;  ///< Read and written, sockets included.
};

/// Owns the processes, HTTP requests, raw connections and forwarders of one
/// scenario and provides the functions that its script calls. Used on one
/// thread; requests and forwarders advance only while RunEventLoop() runs. The
/// destructor kills the processes that still run.
class scenario_host {
 public:
  struct http_answer {
    int status = 0;  ///< 0: no answer, for example a cut connection.
    QByteArray body;
  };

  ~scenario_host();

  /// Starts \p program. \returns its id, which the functions below take.
  int Spawn(const QString& name,
            const QString& program,
            const QStringList& arguments,
            const QStringList& environment);

  /// Sends \p signal_number to the process \p id.
  void Signal(int id, int signal_number);

  /// \returns the exit code, -1 if a signal ended the process, nothing while it
  /// runs.
  std::optional<int> ExitCode(int id) const;

  /// \returns what the process has printed so far.
  QString Output(int id);

  /// \returns the pid of the process \p id.
  qint64 Pid(int id) const { return processes_.at(id).handle->processId(); }

  /// \returns the resources that the process \p id has used.
  process_usage Usage(int id) const;

  /// Begins an HTTP request. \returns its id.
  int BeginRequest(const QByteArray& method,
                   const QString& url,
                   const std::map<QByteArray, QByteArray>& headers,
                   const QByteArray& body);

  /// \returns the answer once the request has ended.
  std::optional<http_answer> Answer(int id) const;

  /// Aborts the request \p id, as a caller that disconnects does.
  void AbortRequest(int id);

  /// Adds a forwarder to \p address. \returns its id.
  int AddForwarder(const QString& address);
  forwarder& Forwarder(int id) { return *forwarders_.at(id); }

  /// Opens a raw connection to \p address and writes \p bytes.
  /// \returns its id.
  int OpenRaw(const QString& address, const QByteArray& bytes);

  /// \returns the bytes received since the last call, and whether the
  /// connection is still open.
  std::pair<QByteArray, bool> ReadRaw(int id);

  /// \returns a port of 127.0.0.1 that is free now and was not returned before.
  quint16 FreePort();

  /// Handles events for \p milliseconds.
  static void RunEventLoop(int milliseconds);

  /// Prints the output of all processes; called when a scenario fails.
  void PrintOutputs();

 private:
  struct process {
    QString name;
    std::unique_ptr<QProcess> handle;
    QString output;
  };
  struct request {
    QNetworkReply* reply = nullptr;
    std::optional<http_answer> answer;
  };

  QNetworkAccessManager& NextNetworkManager();

  std::vector<process> processes_;
  std::vector<std::unique_ptr<QNetworkAccessManager>> network_managers_;
  std::map<int, request> requests_;
  std::vector<std::unique_ptr<forwarder>> forwarders_;
  std::vector<std::unique_ptr<QTcpSocket>> raw_sockets_;
  int next_request_ = 0;
  int next_port_ = 0;
};

}  // namespace jayrill::scenario

#endif  // TESTS_SCENARIO_SCENARIO_HOST_H_
