#include "jayrill/agent/announcement.h"

#include <gtest/gtest.h>

namespace jayrill {
namespace {

struct announcement_case {
  const char* json;
  const char* message;  // Part of the error; empty: accepted.
};

class announcement_test : public ::testing::TestWithParam<announcement_case> {};

// Guards against an invalid announcement that is accepted, and against an error
// that does not name the invalid field.
TEST_P(announcement_test, ChecksEveryField) {
  const auto parsed = ParseAnnouncement(GetParam().json);
  const std::string message = parsed ? "" : parsed.error().message;
  EXPECT_EQ(parsed.has_value(), std::string(GetParam().message).empty())
      << message;
  EXPECT_NE(message.find(GetParam().message), std::string::npos) << message;
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    announcement_test,
    ::testing::Values(
        announcement_case{
            R"({"service":"s","port":1,"slots":8,"connections":64,
                "resources":{"cores":16,"memory_mb":1,"accelerators":0}})",
            ""},
        announcement_case{
            R"({"service":"s","port":1,"slots":8,"connections":64})", ""},
        announcement_case{"", "not a JSON object"},
        announcement_case{"[1]", "not a JSON object"},
        announcement_case{R"({"port":1,"slots":8,"connections":64})",
                          "service must be"},
        announcement_case{R"({"service":7,"port":1,"slots":8,"connections":1})",
                          "service must be"},
        announcement_case{R"({"service":"s","slots":8,"connections":64})",
                          "port must be"},
        announcement_case{
            R"({"service":"s","port":65536,"slots":8,"connections":64})",
            "port must be"},
        announcement_case{
            R"({"service":"s","port":"1","slots":8,"connections":64})",
            "port must be"},
        announcement_case{
            R"({"service":"s","port":1,"slots":0,"connections":64})",
            "slots must be"},
        announcement_case{
            R"({"service":"s","port":1,"slots":1.5,"connections":64})",
            "slots must be"},
        announcement_case{R"({"service":"s","port":1,"slots":1})",
                          "connections must be"},
        announcement_case{
            R"({"service":"s","port":1,"slots":1,"connections":1,
                "resources":[]})",
            "resources must be"},
        announcement_case{
            R"({"service":"s","port":1,"slots":1,"connections":1,
                "resources":{"cores":-1}})",
            "resources.cores must be"}));

}  // namespace
}  // namespace jayrill
