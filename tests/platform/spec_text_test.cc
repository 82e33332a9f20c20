#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <string>

#include "jayrill/base/utf8_text.h"
#include "order_server.h"
#include "queue_request.h"

namespace jayrill::platform {
namespace {

/// \returns the spec in the body of an order, in UTF-8.
std::string SpecOf(const QByteArray& order) {
  return QJsonDocument::fromJson(order)
      .object()
      .value(QLatin1String("spec"))
      .toString()
      .toUtf8()
      .toStdString();
}

/// \returns the payload of the job with the spec \p json_text, which is given
/// as in a JSON string.
tl::expected<std::string, job_failure> DecodePayload(
    const std::string& json_text) {
  const auto job = queue_format().Decode(
      Request("/p/5c0e7a21d94b36f8",
              R"({"spec":")" + json_text +
                  R"(","phases":[{"count":1}],"best_effort":true})"),
      TestConfig());
  if (!job) {
    return tl::unexpected(job.error());
  }
  return job->tasks.at(0).payload;
}

struct spec_case {
  std::string name;
  std::string spec;  ///< In UTF-8.
  std::string json;  ///< The same as in a JSON string; empty: \p spec itself.
};

class spec_test : public testing::TestWithParam<spec_case> {};

// Guards against a minion that is told to start another spec than the client
// has sent, because a conversion drops or changes characters.
TEST_P(spec_test, ReachesTheMinionUnchanged) {
  const spec_case& param = GetParam();
  const auto payload =
      DecodePayload(param.json.empty() ? param.spec : param.json);
  ASSERT_TRUE(payload) << payload.error().message;
  EXPECT_EQ(*payload, param.spec);
  const order_server server("200 OK", "{}");
  EXPECT_EQ(SendOrder(server, *payload), order_answer::kAccepted);
  EXPECT_EQ(SpecOf(server.last_order()), param.spec);
}

INSTANTIATE_TEST_SUITE_P(
    texts,
    spec_test,
    testing::Values(
        spec_case{"mark_first", "\uFEFFramp 0", ""},
        spec_case{"mark_first_escaped", "\uFEFFramp 0", R"(\ufefframp 0)"},
        spec_case{"mark_after_quotation", "\"\uFEFFx", "\\\"\uFEFFx"},
        spec_case{"mark_inside", "ramp\uFEFF0", ""},
        spec_case{"mark_alone", "\uFEFF", ""},
        spec_case{"two_marks", "\uFEFF\uFEFF", ""},
        spec_case{"swapped_mark", "\uFFFEramp", ""},
        spec_case{"nul", std::string("a\0b", 3), R"(a\u0000b)"},
        spec_case{"noncharacters", "\uFFFF\uFDD0\U0010FFFF", ""},
        spec_case{"pair_escaped", "\U0001F600", R"(\ud83d\ude00)"},
        spec_case{"control_characters", "\x01\x1f", R"(\u0001\u001f)"},
        spec_case{"longest", std::string(4000, 'x'), ""},
        spec_case{"none", "", ""}),
    [](const auto& param) { return param.param.name; });

// Guards against the same in texts that no table names.
RC_GTEST_PROP(spec_property, AnyTextReachesTheMinionUnchanged, ()) {
  const auto characters = *rc::gen::container<std::u32string>(rc::gen::oneOf(
      rc::gen::element<char32_t>(0xFEFF, 0xFFFE, 0xFFFF, 0xFFFD, 0x2028),
      rc::gen::inRange<char32_t>(0x20, 0xD800),
      rc::gen::inRange<char32_t>(0xE000, 0x110000)));
  QString text;  // QString::fromUcs4 would drop a mark at the beginning.
  for (const char32_t character : characters) {
    text += QChar::fromUcs4(character);
  }
  QString escaped = text;
  escaped.replace(u'\\', QLatin1String("\\\\"))
      .replace(u'"', QLatin1String("\\\""));
  const auto payload = DecodePayload(escaped.toUtf8().toStdString());
  RC_ASSERT(payload.has_value());
  RC_ASSERT(*payload == text.toUtf8().toStdString());
  RC_ASSERT(ToQString(*payload) == text);
}

}  // namespace
}  // namespace jayrill::platform
