#include "role_process.h"

#include <sys/prctl.h>
#include <sys/types.h>

#include <QProcessEnvironment>
#include <algorithm>
#include <csignal>
#include <utility>

namespace jayrill::soak {

role_process::role_process(role_command command)
    : command_(std::move(command)) {
  QProcessEnvironment environment;
  for (const char* name : {"PATH", "HOME", "LANG"}) {
    environment.insert(QLatin1String(name), qEnvironmentVariable(name));
  }
  for (const auto& [name, value] : command_.settings) {
    environment.insert(name, value);
  }
  process_.setProcessEnvironment(environment);
  process_.setProcessChannelMode(QProcess::MergedChannels);
  process_.setStandardOutputFile(command_.log_path, QIODevice::Append);
  process_.setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
  QObject::connect(&process_, &QProcess::finished, &process_,
                   [this] { OnEnd(); });
}

role_process::~role_process() {
  constexpr int kEndTimeLimitMs = 10'000;
  process_.disconnect();
  process_.kill();
  process_.waitForFinished(kEndTimeLimitMs);
}

void role_process::Start() {
  constexpr int kStartTimeLimitMs = 10'000;
  if (IsAlive()) {
    return;
  }
  freezes_ = 0;
  asked_to_end_ = false;
  process_.start(command_.program, {command_.role});
  process_.waitForStarted(kStartTimeLimitMs);
}

void role_process::Kill() {
  asked_to_end_ = true;
  Send(SIGKILL);
}

void role_process::Terminate() {
  asked_to_end_ = true;
  Send(SIGTERM);
}

void role_process::Freeze() {
  ++freezes_;
  Send(SIGSTOP);
}

void role_process::Thaw() {
  freezes_ = std::max(0, freezes_ - 1);
  if (freezes_ == 0) {
    Send(SIGCONT);
  }
}

void role_process::Send(int signal) {
  if (process_.processId() > 0) {
    ::kill(static_cast<pid_t>(process_.processId()), signal);
  }
}

void role_process::OnEnd() {
  if (!asked_to_end_) {
    ++unexpected_ends_;
  }
}

}  // namespace jayrill::soak
