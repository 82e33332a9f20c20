#include <QCommandLineParser>
#include <QCoreApplication>
#include <cstdio>

#include "standin_server.h"

// Stand-in for the platform's key-value store, for tests. Keeps everything in
// memory and listens on 127.0.0.1 only.
int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  QCommandLineParser parser;
  const QCommandLineOption port(QStringLiteral("port"),
                                QStringLiteral("Port; 0 means any free port."),
                                QStringLiteral("port"), QStringLiteral("0"));
  const QCommandLineOption seed(QStringLiteral("seed"),
                                QStringLiteral("Seed of the random faults."),
                                QStringLiteral("seed"), QStringLiteral("1"));
  parser.addHelpOption();
  parser.addOptions({port, seed});
  parser.process(application);
  jayrill::standin::standin_server server(parser.value(seed).toULongLong());
  const std::uint16_t bound = server.Listen(parser.value(port).toUShort());
  if (bound == 0) {
    std::fprintf(stderr, "store_standin: port %s is taken; choose another\n",
                 parser.value(port).toUtf8().constData());
    return 1;
  }
  std::printf("listening on 127.0.0.1:%d\n", int{bound});
  std::fflush(stdout);
  return QCoreApplication::exec();
}
