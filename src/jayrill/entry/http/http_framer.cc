#include "jayrill/entry/http/http_framer.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "jayrill/job/job_codec.h"

namespace jayrill {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

http_refusal BadRequest(std::string message, std::string remedy) {
  return {400, "invalid_request", std::move(message), std::move(remedy)};
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool IsTokenChar(unsigned char c) {
  return std::isalnum(c) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) !=
             std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 408:
      return "Request Timeout";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Bad Request";
  }
}

}  // namespace

std::string EncodeRefusal(const http_refusal& refusal) {
  const std::string body =
      EncodeOutcome("", MakeJobFailure(job_effect::kNotRun, refusal.code,
                                       refusal.message, refusal.remedy));
  std::string out = "HTTP/1.1 " + std::to_string(refusal.status) + ' ';
  out += ReasonPhrase(refusal.status);
  out += "\r\nContent-Type: application/json\r\nContent-Length: ";
  out += std::to_string(body.size());
  out += "\r\nConnection: close\r\n\r\n";
  return out + body;
}

std::optional<http_refusal> http_framer::Examine(std::string_view buffer) {
  while (header_size_ == 0) {
    const std::size_t end = buffer.find(kLineEnd, scanned_size_);
    if ((end == std::string_view::npos ? buffer.size() : end) >
        max_header_bytes_) {
      return http_refusal{431, "header_too_large",
                          "the header is larger than " +
                              std::to_string(max_header_bytes_) + " bytes",
                          "send fewer or shorter header fields"};
    }
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view line =
        buffer.substr(scanned_size_, end - scanned_size_);
    scanned_size_ = end + kLineEnd.size();
    if (line.empty() && request_line_read_) {
      header_size_ = scanned_size_;
      break;
    }
    auto refusal = request_line_read_ ? ReadField(line) : ReadRequestLine(line);
    if (refusal) {
      return refusal;
    }
  }
  return std::nullopt;
}

std::optional<http_refusal> http_framer::ReadRequestLine(
    std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t second = line.find(' ', first + 1);
  const std::string_view version =
      second == std::string_view::npos ? "" : line.substr(second + 1);
  const bool printable = std::all_of(
      line.begin(), line.end(), [](char c) { return c > 0x1f && c < 0x7f; });
  if (first == std::string_view::npos || second <= first + 1 || !printable ||
      !IsToken(line.substr(0, first)) ||
      (version != "HTTP/1.1" && version != "HTTP/1.0")) {
    return BadRequest("the request line is not HTTP/1.1",
                      "send HTTP/1.1 without TLS to this port");
  }
  // QHttpServer treats CONNECT as an upgrade of the protocol.
  if (line[first + 1] != '/' || line.substr(0, first) == "CONNECT") {
    return BadRequest("the request target is not a path",
                      "send a target that begins with /");
  }
  request_line_read_ = true;
  // QHttpServer 6.4 never closes a connection by itself and answers HEAD with
  // a body, so these connections are closed after the answer.
  keep_alive_ = version == "HTTP/1.1" && line.substr(0, first) != "HEAD";
  return std::nullopt;
}

std::optional<http_refusal> http_framer::ReadField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) ||
      line.find('\0') != std::string_view::npos) {
    return BadRequest("a header line is not a field",
                      "send each header field as name: value on one line");
  }
  const std::string name = LowerCase(line.substr(0, colon));
  const std::string_view value = Trim(line.substr(colon + 1));
  if (name == "content-length") {
    return ReadLength(value);
  }
  if (name == "transfer-encoding") {
    return http_refusal{411, "length_required",
                        "bodies without Content-Length are not accepted",
                        "send the body with Content-Length"};
  }
  if (name == "upgrade") {
    return BadRequest("upgrades of the protocol are not supported",
                      "leave the Upgrade field out");
  }
  if (name == "connection" &&
      LowerCase(value).find("close") != std::string::npos) {
    keep_alive_ = false;
  } else if (name == "expect") {
    expects_continue_ = LowerCase(value) == "100-continue";
  }
  return std::nullopt;
}

std::optional<http_refusal> http_framer::ReadLength(std::string_view value) {
  std::size_t length = 0;
  const auto [end, failure] =
      std::from_chars(value.data(), value.data() + value.size(), length);
  if (failure == std::errc::result_out_of_range || length > max_body_bytes_) {
    return http_refusal{
        413, "body_too_large",
        "the body is larger than " + std::to_string(max_body_bytes_) + " bytes",
        "split the job into several or shorten its payloads"};
  }
  if (failure != std::errc() || end != value.data() + value.size() ||
      body_size_) {
    return BadRequest("Content-Length is not one whole number",
                      "send one Content-Length field");
  }
  body_size_ = length;
  return std::nullopt;
}

std::size_t http_framer::CompleteSize(std::size_t buffer_size) const {
  const std::size_t size = header_size_ + body_size_.value_or(0);
  return header_size_ > 0 && buffer_size >= size ? size : 0;
}

void http_framer::Reset() {
  *this = http_framer(max_header_bytes_, max_body_bytes_);
}

}  // namespace jayrill
