#ifndef TESTS_SUPPORT_RECORDING_SINK_H_
#define TESTS_SUPPORT_RECORDING_SINK_H_

#include <glog/logging.h>

#include <string>
#include <vector>

namespace jayrill {

/// Records the messages that are logged during its lifetime.
class recording_sink : public google::LogSink {
 public:
  recording_sink() { google::AddLogSink(this); }
  ~recording_sink() override { google::RemoveLogSink(this); }

  void send(google::LogSeverity /*severity*/,
            const char* /*full_filename*/,
            const char* /*base_filename*/,
            int /*line*/,
            const google::LogMessageTime& /*time*/,
            const char* message,
            std::size_t size) override {
    lines.emplace_back(message, size);
  }

  std::vector<std::string> lines;
};

}  // namespace jayrill

#endif  // TESTS_SUPPORT_RECORDING_SINK_H_
