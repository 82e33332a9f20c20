// Stand-ins of the platform for the scripts in review/11 to review/15: its
// key-value store, a minion beside an agent, a client, and the start and end
// of the project's processes. They speak HTTP/1.1 on 127.0.0.1 as PROTOCOL
// says and need nothing but the C++ library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace fleet {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline const steady::time_point kBegin = steady::now();

inline long Now() {
  return std::chrono::duration_cast<ms>(steady::now() - kBegin).count();
}

inline long UnixMs() {
  return std::chrono::duration_cast<ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void Sleep(long milliseconds) {
  std::this_thread::sleep_for(ms(milliseconds));
}

// ---- record -----------------------------------------------------------------

class record {
 public:
  static record& Get() {
    static record one;
    return one;
  }
  void Open(const std::string& path) { file_.open(path); }
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char head[32];
    std::snprintf(head, sizeof(head), "%9.3f s  ", Now() / 1000.0);
    file_ << head << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline void Log(const std::string& text) {
  record::Get().Line(text);
}

// ---- JSON -------------------------------------------------------------------

struct json {
  enum kind { kNull, kBool, kNumber, kString, kArray, kObject } type = kNull;
  bool truth = false;
  double number = 0;
  std::string text;
  std::vector<json> items;
  std::map<std::string, json> fields;

  const json& operator[](const std::string& name) const {
    static const json none;
    const auto found = fields.find(name);
    return found == fields.end() ? none : found->second;
  }
  bool Has(const std::string& name) const { return fields.count(name) > 0; }
  long Int() const { return static_cast<long>(number); }
};

class json_reader {
 public:
  explicit json_reader(const std::string& text) : text_(text) {}
  json Read() {
    json value;
    Skip();
    if (at_ >= text_.size()) {
      return value;
    }
    const char c = text_[at_];
    if (c == '{') {
      value.type = json::kObject;
      ++at_;
      for (Skip(); at_ < text_.size() && text_[at_] != '}'; Skip()) {
        const std::string name = String();
        Skip();
        ++at_;  // ':'
        value.fields[name] = Read();
        Skip();
        if (at_ < text_.size() && text_[at_] == ',') {
          ++at_;
        }
      }
      ++at_;
    } else if (c == '[') {
      value.type = json::kArray;
      ++at_;
      for (Skip(); at_ < text_.size() && text_[at_] != ']'; Skip()) {
        value.items.push_back(Read());
        Skip();
        if (at_ < text_.size() && text_[at_] == ',') {
          ++at_;
        }
      }
      ++at_;
    } else if (c == '"') {
      value.type = json::kString;
      value.text = String();
    } else if (text_.compare(at_, 4, "true") == 0) {
      value.type = json::kBool;
      value.truth = true;
      at_ += 4;
    } else if (text_.compare(at_, 5, "false") == 0) {
      value.type = json::kBool;
      at_ += 5;
    } else if (text_.compare(at_, 4, "null") == 0) {
      at_ += 4;
    } else {
      value.type = json::kNumber;
      std::size_t used = 0;
      try {
        value.number = std::stod(text_.substr(at_, 40), &used);
      } catch (...) {
        used = 1;
      }
      at_ += used;
    }
    return value;
  }

 private:
  void Skip() {
    while (at_ < text_.size() && std::isspace((unsigned char)text_[at_])) {
      ++at_;
    }
  }
  std::string String() {
    std::string out;
    ++at_;
    while (at_ < text_.size() && text_[at_] != '"') {
      if (text_[at_] == '\\' && at_ + 1 < text_.size()) {
        const char c = text_[++at_];
        if (c == 'u') {
          const unsigned code =
              std::stoul(text_.substr(at_ + 1, 4), nullptr, 16);
          at_ += 4;
          if (code < 0x80) {
            out += static_cast<char>(code);
          } else if (code < 0x800) {
            out += static_cast<char>(0xC0 | (code >> 6));
            out += static_cast<char>(0x80 | (code & 63));
          } else {
            out += static_cast<char>(0xE0 | (code >> 12));
            out += static_cast<char>(0x80 | ((code >> 6) & 63));
            out += static_cast<char>(0x80 | (code & 63));
          }
        } else {
          out += c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c;
        }
      } else {
        out += text_[at_];
      }
      ++at_;
    }
    ++at_;
    return out;
  }

  const std::string& text_;
  std::size_t at_ = 0;
};

inline json Parse(const std::string& text) {
  return json_reader(text).Read();
}

inline std::string Quote(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char code[8];
      std::snprintf(code, sizeof(code), "\\u%04x", c);
      out += code;
    } else {
      out += c;
    }
  }
  return out + "\"";
}

inline std::string ToBase64(const std::string& in) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned block = static_cast<unsigned char>(in[i]) << 16;
    if (i + 1 < in.size()) {
      block |= static_cast<unsigned char>(in[i + 1]) << 8;
    }
    if (i + 2 < in.size()) {
      block |= static_cast<unsigned char>(in[i + 2]);
    }
    out += kDigits[block >> 18];
    out += kDigits[(block >> 12) & 63];
    out += i + 1 < in.size() ? kDigits[(block >> 6) & 63] : '=';
    out += i + 2 < in.size() ? kDigits[block & 63] : '=';
  }
  return out;
}

// ---- HTTP server ------------------------------------------------------------

struct request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Lower-case names.
  std::string body;
  int peer_port = 0;
  int connection = 0;     // Counts from 1.
  bool is_entry = false;  // Came to the store by the door of the entries.
};

struct response {
  int status = 200;
  std::string body = "{}";
  bool reset = false;   // The connection is reset without an answer.
  bool silent = false;  // No answer; the connection stays open.
};

inline std::string Decode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline bool ReadMessage(int fd,
                        std::string& buffer,
                        std::string& head,
                        std::string& body,
                        long until) {
  std::size_t end = 0;
  long length = -1;
  for (;;) {
    end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      if (length < 0) {
        std::string lower = buffer.substr(0, end);
        for (char& c : lower) {
          c = static_cast<char>(std::tolower((unsigned char)c));
        }
        const auto at = lower.find("\r\ncontent-length:");
        length = at == std::string::npos ? 0 : std::atol(&lower[at + 17]);
      }
      if (buffer.size() >= end + 4 + static_cast<std::size_t>(length)) {
        head = buffer.substr(0, end);
        body = buffer.substr(end + 4, static_cast<std::size_t>(length));
        buffer.erase(0, end + 4 + static_cast<std::size_t>(length));
        return true;
      }
    }
    pollfd event{fd, POLLIN, 0};
    const long left = until == 0 ? -1 : until - Now();
    if (until != 0 && left <= 0) {
      return false;
    }
    if (poll(&event, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char chunk[65536];
    const ssize_t size = recv(fd, chunk, sizeof(chunk), 0);
    if (size <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<std::size_t>(size));
  }
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

class http_server {
 public:
  using handler = std::function<response(const request&)>;

  explicit http_server(handler handle, int port = 0)
      : handle_(std::move(handle)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Loopback(port);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(listener_, 256) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  int port() const { return port_; }
  /// Connections accepted so far get no byte any more; new ones are served.
  void SilenceOpenConnections() { silent_up_to_ = connections_.load(); }
  int connections() const { return connections_; }
  /// Resets every open connection and refuses new ones, as a process that has
  /// died does.
  void Die() {
    dead_ = true;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_) {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    for (;;) {
      sockaddr_in peer{};
      socklen_t size = sizeof(peer);
      const int fd = accept4(listener_, reinterpret_cast<sockaddr*>(&peer),
                             &size, SOCK_CLOEXEC);
      if (fd < 0) {
        if (dead_) {
          return;
        }
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.insert(fd);
      }
      const int number = ++connections_;
      std::thread([this, fd, number, port = ntohs(peer.sin_port)] {
        Serve(fd, number, port);
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          open_.erase(fd);
        }
        close(fd);
      }).detach();
    }
  }

  void Serve(int fd, int number, int peer_port) {
    std::string buffer;
    std::string head;
    std::string body;
    while (!dead_ && ReadMessage(fd, buffer, head, body, 0)) {
      if (number <= silent_up_to_) {
        continue;  // Read and forgotten; the peer hears nothing.
      }
      request call = ToRequest(head, body);
      call.peer_port = peer_port;
      call.connection = number;
      const response answer = handle_(call);
      if (answer.reset) {
        const linger now{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        return;
      }
      if (answer.silent || number <= silent_up_to_) {
        continue;
      }
      std::ostringstream out;
      out << "HTTP/1.1 " << answer.status
          << " X\r\nContent-Type: application/json\r\nContent-Length: "
          << answer.body.size() << "\r\n\r\n"
          << answer.body;
      if (dead_ || !SendAll(fd, out.str())) {
        return;
      }
    }
  }

  static request ToRequest(const std::string& head, const std::string& body) {
    request call;
    call.body = body;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string target;
    first >> call.method >> target;
    const auto mark = target.find('?');
    call.path = Decode(target.substr(0, mark));
    if (mark != std::string::npos) {
      std::istringstream parts(target.substr(mark + 1));
      std::string part;
      while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        call.query[part.substr(0, equals)] =
            equals == std::string::npos ? "" : Decode(part.substr(equals + 1));
      }
    }
    while (std::getline(lines, line)) {
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      for (char& c : name) {
        c = static_cast<char>(std::tolower((unsigned char)c));
      }
      std::string value = line.substr(colon + 1);
      while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
        value.pop_back();
      }
      while (!value.empty() && value.front() == ' ') {
        value.erase(0, 1);
      }
      call.headers[name] = value;
    }
    return call;
  }

  handler handle_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> dead_{false};
  std::atomic<int> connections_{0};
  std::atomic<int> silent_up_to_{0};
  std::mutex mutex_;
  std::set<int> open_;
};

// ---- HTTP client ------------------------------------------------------------

struct reply {
  int status = 0;  // 0: no whole answer.
  std::string body;
};

inline int Connect(int port, long timeout = 1000) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  timeval limit{timeout / 1000, (timeout % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

/// One call on a connection of its own. Gives up after \p timeout.
inline reply Call(int port,
                  const std::string& method,
                  const std::string& path,
                  const std::string& headers,
                  const std::string& body,
                  long timeout) {
  reply result;
  const long until = Now() + timeout;
  const int fd = Connect(port, timeout);
  if (fd < 0) {
    return result;
  }
  std::ostringstream out;
  out << method << " " << path << " HTTP/1.1\r\n" << headers;
  if (!body.empty()) {
    out << "Content-Type: application/json\r\n";
  }
  out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
  std::string buffer;
  std::string head;
  if (SendAll(fd, out.str()) &&
      ReadMessage(fd, buffer, head, result.body, until)) {
    result.status = std::atoi(head.substr(9, 3).c_str());
  }
  close(fd);
  return result;
}

// ---- the platform's store ---------------------------------------------------

class store {
 public:
  /// Decides on a call before it is carried out, or leaves it alone.
  std::function<bool(const request&, response&)> intercept;

  /// Entries and all others reach the store at different ports, as machines
  /// with different addresses do, so that it can reject some of them.
  store()
      : entry_door_([this](const request& call) {
          request known = call;
          known.is_entry = true;
          return Handle(known);
        }),
        door_([this](const request& call) { return Handle(call); }) {}

  int entry_port() const { return entry_door_.port(); }
  int port() const { return door_.port(); }
  http_server& entry_door() { return entry_door_; }

  /// Written by the operator. \returns the time of the acknowledgement.
  long Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Write(key, value, 0);
    changed_.notify_all();
    return Now();
  }
  long Delete(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Erase(key);
    changed_.notify_all();
    return Now();
  }

 private:
  struct item {
    std::string value;
    long revision = 0;
    long created = 0;
    long lease = 0;
  };
  struct event {
    std::string key;
    std::string value;
    long revision = 0;
    long created = 0;
    long lease = 0;
    bool deleted = false;
  };
  struct lease {
    long ttl = 0;
    long ends = 0;
  };

  void Write(const std::string& key, const std::string& value, long owner) {
    item& entry = items_[key];
    entry.value = value;
    entry.revision = ++revision_;
    entry.created = entry.created == 0 ? revision_ : entry.created;
    entry.lease = owner;
    events_.push_back(
        {key, value, entry.revision, entry.created, owner, false});
  }
  void Erase(const std::string& key) {
    if (items_.erase(key) > 0) {
      events_.push_back({key, "", ++revision_, 0, 0, true});
    }
  }
  void EndLeases() {
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.ends > Now()) {
        ++it;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, entry] : items_) {
        if (entry.lease == it->first) {
          keys.push_back(key);
        }
      }
      for (const std::string& key : keys) {
        Erase(key);
      }
      it = leases_.erase(it);
    }
  }
  static std::string ItemText(const std::string& key,
                              const std::string& value,
                              long revision,
                              long created,
                              long owner) {
    std::ostringstream out;
    out << "{\"key\":" << Quote(key) << ",\"value\":\"" << value
        << "\",\"revision\":" << revision << ",\"created\":" << created
        << ",\"lease\":" << owner << "}";
    return out.str();
  }
  std::string ItemText(const std::string& key, const item& entry) const {
    return ItemText(key, entry.value, entry.revision, entry.created,
                    entry.lease);
  }

  response Handle(const request& call) {
    response answer;
    if (intercept && intercept(call, answer)) {
      return answer;
    }
    std::unique_lock<std::mutex> lock(mutex_);
    EndLeases();
    const auto query = [&call](const char* name) {
      const auto found = call.query.find(name);
      return found == call.query.end() ? std::string() : found->second;
    };
    std::ostringstream out;
    if (call.path == "/v1/kv-key") {
      const auto found = items_.find(query("key"));
      if (found == items_.end()) {
        return {404};
      }
      std::string text = ItemText(found->first, found->second);
      text.pop_back();
      out << text << ",\"as_of\":" << revision_ << "}";
    } else if (call.path == "/v1/kv-range") {
      const std::string prefix = query("prefix");
      const std::string after = query("after");
      out << "{\"items\":[";
      bool first = true;
      for (const auto& [key, entry] : items_) {
        if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
          out << (first ? "" : ",") << ItemText(key, entry);
          first = false;
        }
      }
      out << "],\"has_more\":false,\"as_of\":" << revision_ << "}";
    } else if (call.path == "/v1/kv-watch") {
      const std::string prefix = query("prefix");
      const long after = std::atol(query("after").c_str());
      const auto until =
          steady::now() + ms(std::atol(query("wait_ms").c_str()));
      std::string events;
      for (;;) {
        EndLeases();
        for (const event& change : events_) {
          if (change.revision > after &&
              change.key.compare(0, prefix.size(), prefix) == 0) {
            events += events.empty() ? "" : ",";
            if (change.deleted) {
              events += "{\"key\":" + Quote(change.key) +
                        ",\"revision\":" + std::to_string(change.revision) +
                        ",\"deleted\":true}";
            } else {
              events += ItemText(change.key, change.value, change.revision,
                                 change.created, change.lease);
            }
          }
        }
        if (!events.empty() || steady::now() >= until) {
          break;
        }
        changed_.wait_until(lock, std::min(until, steady::now() + ms(200)));
      }
      out << "{\"events\":[" << events << "],\"as_of\":" << revision_ << "}";
    } else if (call.path == "/v1/kv-txn") {
      return Change(Parse(call.body));
    } else if (call.path == "/v1/kv-lease") {
      const long ttl = Parse(call.body)["ttl_ms"].Int();
      leases_[++last_lease_] = {ttl, Now() + ttl};
      out << "{\"lease\":" << last_lease_ << ",\"ttl_ms\":" << ttl << "}";
    } else if (call.path.rfind("/v1/kv-keep/", 0) == 0) {
      const auto found = leases_.find(std::atol(call.path.c_str() + 12));
      if (found == leases_.end()) {
        return {404};
      }
      found->second.ends = Now() + found->second.ttl;
      out << "{\"ttl_ms\":" << found->second.ttl << "}";
    } else if (call.path.rfind("/v1/kv-lease-end/", 0) == 0) {
      const auto found = leases_.find(std::atol(call.path.c_str() + 17));
      if (found != leases_.end()) {
        found->second.ends = 0;
        EndLeases();
        changed_.notify_all();
      }
      out << "{}";
    } else {
      return {404};
    }
    answer.body = out.str();
    lock.unlock();
    if (intercept) {
      intercept(call, answer);  // It may have begun while a watch waited.
    }
    return answer;
  }

  response Change(const json& body) {
    std::string conflicts;
    for (const json& row : body["expected"].items) {
      const auto found = items_.find(row["key"].text);
      const long revision = found == items_.end() ? 0 : found->second.revision;
      if (revision != row["revision"].Int()) {
        conflicts += conflicts.empty() ? "" : ",";
        conflicts +=
            found == items_.end()
                ? "{\"key\":" + Quote(row["key"].text) + ",\"revision\":0}"
                : ItemText(found->first, found->second);
      }
    }
    if (!conflicts.empty()) {
      return {412, "{\"items\":[" + conflicts + "]}"};
    }
    for (const json& row : body["puts"].items) {
      const long owner = row["lease"].Int();
      if (owner != 0 && leases_.count(owner) == 0) {
        return {404};
      }
    }
    for (const json& row : body["puts"].items) {
      Write(row["key"].text, row["value"].text, row["lease"].Int());
    }
    for (const json& key : body["delete"].items) {
      Erase(key.text);
    }
    changed_.notify_all();
    return {200, "{\"revision\":" + std::to_string(revision_) + "}"};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<event> events_;
  std::map<long, lease> leases_;
  long last_lease_ = 0;
  long revision_ = 1;
  http_server entry_door_;  // Last: its threads use the members above.
  http_server door_;
};

// ---- a minion ---------------------------------------------------------------

/// What a task does stands in its spec: "work=MS cpu=THOUSANDTHS ...".
inline long Figure(const std::string& spec, const std::string& name) {
  const auto at = spec.find(name + "=");
  return at == std::string::npos ? 0 : std::atol(&spec[at + name.size() + 1]);
}

struct minion_options {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack = "r1-1";
  long cpu = 16000;
  int agent_port = 0;  // Where it sends its heartbeats.
  int port = 0;        // 0: any.
  bool guards = true;  // Rejects starts that do not fit.
};

/// One life of a minion.
class minion {
 public:
  struct start {
    long at = 0;
    std::string task;
    long attempt = 0;
    std::string spec;
    long used = 0;   // With this start.
    long ended = 0;  // 0: runs.
    std::string how;
  };
  enum class fault { kNone, kAnswerLost, kLate };
  /// Decides what becomes of an order.
  std::function<fault(const request&)> disturb;

  explicit minion(minion_options options)
      : options_(std::move(options)),
        born_(UnixMs()),
        began_(Now()),
        server_([this](const request& call) { return Handle(call); },
                options_.port) {
    std::thread([this] { Tick(); }).detach();
    std::thread([this] { Beat(); }).detach();
  }

  int port() const { return server_.port(); }
  http_server& server() { return server_; }
  void SetState(const std::string& state) {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_ = state;
  }
  void Crash() {
    dead_ = true;
    server_.Die();
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const run& one : runs_) {
      MarkEnded(one, "crashed");
    }
    runs_.clear();
    Log("minion " + options_.id + " crashes");
  }
  std::vector<start> starts() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return starts_;
  }
  std::size_t running() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_.size();
  }
  bool Runs(const std::string& job) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const run& one : runs_) {
      if (one.task.rfind(job, 0) == 0) {
        return true;
      }
    }
    return false;
  }
  /// Sends one heartbeat. \returns the status of the answer.
  int SendBeat() {
    std::ostringstream body;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      body << "{\"service\":" << Quote(options_.service)
           << ",\"address\":\"127.0.0.1:" << server_.port()
           << "\",\"zone\":" << Quote(options_.zone)
           << ",\"version\":\"v1\",\"capacity\":8,\"state\":" << Quote(state_)
           << ",\"cold_remaining_ms\":0,\"headroom\":{\"cpu\":" << options_.cpu
           << ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\","
           << Quote(options_.rack) << "],\"clock_ms\":" << Clock()
           << ",\"born\":" << born_ << ",\"sequence\":" << ++sequence_;
      if (state_ == "draining") {
        body << ",\"remaining_ms\":2000";
      }
      body << "}";
    }
    return Call(options_.agent_port, "PUT", "/v1/instances/" + options_.id,
                "Host: control\r\n", body.str(), 1000)
        .status;
  }

 private:
  struct run {
    std::string task;
    long attempt = 0;
    long work = 0;
    long cpu = 0;
    long began = 0;
    long stop_at = 0;  // 0: not being stopped.
  };
  struct end {
    long number = 0;
    std::string task;
    long attempt = 0;
    std::string how;
  };
  static constexpr long kMaxHold = 1000;
  static constexpr long kStop = 50;

  long Clock() const { return Now() - began_ + 1000; }
  long Used() const {
    long used = 0;
    for (const run& one : runs_) {
      used += one.cpu;
    }
    return used;
  }
  void End(std::size_t index, const std::string& how) {
    const run one = runs_[index];
    MarkEnded(one, how);
    runs_.erase(runs_.begin() + static_cast<long>(index));
    ends_.push_back({++last_end_, one.task, one.attempt, how});
    long& highest = ended_[one.task];
    highest = std::max(highest, one.attempt);
    Log("minion " + options_.id + " ends " + one.task + " run " +
        std::to_string(one.attempt) + " " + how);
    changed_.notify_all();
  }

  void MarkEnded(const run& one, const std::string& how) {
    for (start& begun : starts_) {
      if (begun.task == one.task && begun.attempt == one.attempt &&
          begun.ended == 0) {
        begun.ended = Now();
        begun.how = how;
      }
    }
  }

  void Tick() {
    while (!dead_) {
      Sleep(5);
      const std::lock_guard<std::mutex> lock(mutex_);
      for (std::size_t i = runs_.size(); i-- > 0;) {
        const run& one = runs_[i];
        if (one.stop_at != 0 && Now() >= one.stop_at) {
          End(i, "stopped");
        } else if (Clock() > hold_until_) {
          End(i, "lapsed");
        } else if (Now() - one.began >= one.work) {
          End(i, "done");
        }
      }
    }
  }

  void Beat() {
    while (!dead_) {
      SendBeat();
      for (int i = 0; i < 150 && !dead_; ++i) {
        Sleep(10);
      }
    }
  }

  std::string Head() const {
    return "{\"clock_ms\":" + std::to_string(Clock()) +
           ",\"born\":" + std::to_string(born_);
  }

  response Handle(const request& call) {
    const fault kind = disturb ? disturb(call) : fault::kNone;
    if (kind == fault::kLate) {
      std::thread([this, call] {
        Sleep(2000 + std::rand() % 4000);
        if (!dead_) {
          Log("minion " + options_.id + " carries out late " + call.path + " " +
              call.body.substr(0, 120));
          Carry(call);
        }
      }).detach();
    }
    response answer;
    if (kind != fault::kLate) {
      answer = Carry(call);
    }
    answer.silent = kind != fault::kNone;
    return answer;
  }

  response Carry(const request& call) {
    if (call.method == "GET") {
      return {200};
    }
    const json body = Parse(call.body);
    std::unique_lock<std::mutex> lock(mutex_);
    const auto target = call.headers.find("x-target-instance");
    if (target != call.headers.end() && target->second != options_.id) {
      return {421, Head() + "}"};
    }
    const long token = body["fencing_token"].Int();
    if (token < highest_token_) {
      return {409, Head() + ",\"reason\":\"fence\"}"};
    }
    highest_token_ = token;
    if (call.path == "/v1/run-start") {
      return Start(body);
    }
    if (call.path == "/v1/run-stop") {
      const std::string& task = body["task"].text;
      const long attempt = body["attempt"].Int();
      bool there = false;
      for (run& one : runs_) {
        if (one.task == task && one.attempt == attempt) {
          there = true;
          one.stop_at = one.stop_at == 0 ? Now() + kStop / 2 : one.stop_at;
        }
      }
      if (!there) {
        long& highest = ended_[task];
        highest = std::max(highest, attempt);
      }
      Log("minion " + options_.id + " is told to stop " + task + " run " +
          std::to_string(attempt) + (there ? "" : " (not there)"));
      return {200, Head() + "}"};
    }
    if (call.path == "/v1/hold") {
      if (body.Has("deadline_ms")) {
        Extend(body["deadline_ms"].Int());
      }
      const long cursor = body["ack_cursor"].Int();
      while (!ends_.empty() && ends_.front().number <= cursor) {
        ends_.erase(ends_.begin());
      }
      const auto until = steady::now() + ms(body["wait_ms"].Int());
      while (ends_.empty() && !dead_ && steady::now() < until) {
        changed_.wait_until(lock, until);
      }
      std::ostringstream out;
      out << Head() << ",\"running\":[";
      bool first = true;
      for (const run& one : runs_) {
        if (one.stop_at != 0) {
          continue;
        }
        out << (first ? "" : ",") << "[" << Quote(one.task) << ","
            << one.attempt << ",\"\","
            << std::min(99L, (Now() - one.began) * 100 / std::max(1L, one.work))
            << "]";
        first = false;
      }
      out << "],\"finished\":[";
      first = true;
      for (const end& one : ends_) {
        out << (first ? "" : ",") << "[" << one.number << "," << Quote(one.task)
            << "," << one.attempt << "," << Quote(one.how) << ",\"\"]";
        first = false;
      }
      out << "]}";
      return {200, out.str()};
    }
    return {404, Head() + "}"};
  }

  void Extend(long deadline) {
    hold_until_ = std::max(hold_until_, std::min(deadline, Clock() + kMaxHold));
  }

  response Start(const json& body) {
    const std::string& task = body["task"].text;
    const std::string& spec = body["spec"].text;
    const long attempt = body["attempt"].Int();
    const long deadline = body["deadline_ms"].Int();
    for (const run& one : runs_) {
      if (one.task == task && one.attempt == attempt) {
        Extend(deadline);
        return {200, Head() + "}"};
      }
    }
    const auto highest = ended_.find(task);
    if (highest != ended_.end() && attempt <= highest->second) {
      Extend(deadline);
      return {409, Head() + ",\"reason\":\"old\"}"};
    }
    if (deadline < Clock()) {
      return {409, Head() + ",\"reason\":\"late\"}"};
    }
    run one{task, attempt, Figure(spec, "work"), Figure(spec, "cpu"), Now(), 0};
    if (options_.guards && Used() + one.cpu > options_.cpu) {
      Extend(deadline);
      return {409, Head() + ",\"reason\":\"room\"}"};
    }
    Extend(deadline);
    runs_.push_back(one);
    starts_.push_back({Now(), task, attempt, spec, Used()});
    Log("minion " + options_.id + " (" + options_.zone + ") starts " + task +
        " run " + std::to_string(attempt) + " cpu in use " +
        std::to_string(Used()) + " of " + std::to_string(options_.cpu));
    return {200, Head() + "}"};
  }

  const minion_options options_;
  const long born_;
  const long began_;
  std::atomic<bool> dead_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::string state_ = "ready";
  long sequence_ = 0;
  long highest_token_ = 0;
  long hold_until_ = 0;
  long last_end_ = 0;
  std::vector<run> runs_;
  std::vector<end> ends_;
  std::map<std::string, long> ended_;
  std::vector<start> starts_;
  http_server server_;  // Last: its threads use the members above.
};

// ---- the project's processes ------------------------------------------------

class process {
 public:
  process(std::string name,
          std::vector<std::string> command,
          std::map<std::string, std::string> environment,
          std::string log)
      : name_(std::move(name)),
        command_(std::move(command)),
        environment_(std::move(environment)),
        log_(std::move(log)) {
    All().insert(this);
    Start();
  }
  ~process() {
    Kill();
    All().erase(this);
  }
  static std::set<process*>& All() {
    static std::set<process*> all;
    return all;
  }

  /// While true, nobody reads what the processes write to standard output.
  static std::atomic<bool>& LogReaderStands() {
    static std::atomic<bool> stands{false};
    return stands;
  }

  void Start() {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
      std::perror("pipe");
      std::exit(2);
    }
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(ends[1], 1);
      dup2(ends[1], 2);
      clearenv();
      for (const auto& [key, value] : environment_) {
        setenv(key.c_str(), value.c_str(), 1);
      }
      std::vector<char*> words;
      for (std::string& word : command_) {
        words.push_back(word.data());
      }
      words.push_back(nullptr);
      execv(words[0], words.data());
      _exit(127);
    }
    close(ends[1]);
    std::thread([from = ends[0], to = log_] { CollectLog(from, to); }).detach();
    Log("process " + name_ + " is started");
  }
  void Signal(int number) {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /// \returns false when the process has ended; \p status says how.
  bool Alive(int* status = nullptr) {
    if (pid_ <= 0) {
      return false;
    }
    int how = 0;
    if (waitpid(pid_, &how, WNOHANG) == pid_) {
      pid_ = -1;
      if (status != nullptr) {
        *status = how;
      }
      return false;
    }
    return true;
  }
  pid_t pid() const { return pid_; }

 private:
  /// Reads the log of one process, as the platform's collector does.
  static void CollectLog(int from, const std::string& to) {
    std::ofstream file(to, std::ios::app);
    char chunk[4096];
    for (;;) {
      while (LogReaderStands()) {
        Sleep(10);
      }
      const ssize_t size = read(from, chunk, sizeof(chunk));
      if (size <= 0) {
        break;
      }
      file.write(chunk, size) << std::flush;
    }
    close(from);
  }

  std::string name_;
  std::vector<std::string> command_;
  std::map<std::string, std::string> environment_;
  std::string log_;
  pid_t pid_ = -1;
};

/// Ends all processes and the program, whose threads need no end.
[[noreturn]] inline void End(int code) {
  for (process* const one : process::All()) {
    one->Kill();
  }
  Log("end with " + std::to_string(code));
  _exit(code);
}

// ---- a small deployment -----------------------------------------------------

inline std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

struct entry_ports {
  int http = FreePort();
  int health = FreePort();
  int rpc = FreePort();
};

/// Starts the project's roles with the commands and the variables of
/// deploy/system.toml.
class deployment {
 public:
  deployment(std::string folder, const store& platform)
      : folder_(std::move(folder)),
        entry_store_port_(platform.entry_port()),
        store_port_(platform.port()) {}

  std::unique_ptr<process> StartEntry(const std::string& name,
                                      const std::string& zone,
                                      const entry_ports& ports) {
    std::map<std::string, std::string> env =
        Common(name, zone, ports.rpc, entry_store_port_);
    env["JAYRILL_HTTP_LISTEN"] = Address(ports.http);
    env["JAYRILL_HEALTH_LISTEN"] = Address(ports.health);
    env["JAYRILL_RPC_LISTEN"] = Address(ports.rpc);
    env["JAYRILL_STORE_ENDPOINTS"] = Address(entry_store_port_);
    env["JAYRILL_REMOTE_FACTOR"] = "1.5";
    env["JAYRILL_PROCESSOR_CORES"] = "0.25";
    env["JAYRILL_SLOW_START_MS"] = "0";
    env["JAYRILL_STOP_DELAY_MS"] = "2000";
    return Launch(name, "entry", env);
  }

  std::unique_ptr<process> StartAgent(const std::string& name,
                                      const std::string& zone,
                                      int announce_port,
                                      const std::vector<int>& seeds) {
    std::string entries;
    for (const int port : seeds) {
      entries += (entries.empty() ? "" : ",") + Address(port);
    }
    std::map<std::string, std::string> env =
        Common(name, zone, seeds.front(), store_port_);
    env["JAYRILL_WORKER"] = name;
    env["JAYRILL_ANNOUNCE_LISTEN"] = Address(announce_port);
    env["JAYRILL_ENTRIES"] = entries;
    env["JAYRILL_LEASE_MS"] = "1000";
    env["JAYRILL_STOP_LIMIT_MS"] = "5000";
    env["JAYRILL_STATUS_INTERVAL_MS"] = "5";
    return Launch(name, "agent", env);
  }

 private:
  std::map<std::string, std::string> Common(const std::string& name,
                                            const std::string& zone,
                                            int seed,
                                            int store_port) {
    const std::string settings = folder_ + "/" + name + ".json";
    std::ofstream(settings)
        << "{\"node_name\":\"" << name << "\",\"seeds\":[\"" << Address(seed)
        << "\"],\"platform\":{\"address\":\"" << Address(store_port)
        << "\",\"form\":\"kv\"}}";
    std::map<std::string, std::string> env;
    env["PATH"] = "/usr/bin:/bin";
    env["HOME"] = folder_;
    env["LANG"] = "C.UTF-8";
    env["JAYRILL_CONFIG"] = settings;
    env["JAYRILL_PLATFORM"] = "true";
    env["JAYRILL_ID"] = name;
    env["JAYRILL_DATA_CENTRE"] = zone;
    env["JAYRILL_REPEAT_AFTER_MS"] = "1300";
    return env;
  }
  std::unique_ptr<process> Launch(const std::string& name,
                                  const std::string& role,
                                  std::map<std::string, std::string> env) {
    return std::make_unique<process>(
        name, std::vector<std::string>{"target/jayrill", role}, std::move(env),
        folder_ + "/" + name + ".log");
  }

  std::string folder_;
  int entry_store_port_;
  int store_port_;
};

/// \returns a configuration with one queue for each of \p services, whose
/// prefix is /q-SERVICE/ on the host desk.example.
inline std::string Config(int version,
                          const std::vector<std::string>& services,
                          bool enforces_capacity = true,
                          double slack_factor = 1.6,
                          long target_latency = 60) {
  std::ostringstream out;
  out << "{\"version\":" << version << ",\"routes\":[";
  bool first = true;
  for (const std::string& service : services) {
    out << (first ? "" : ",") << "{\"name\":\"r-" << service
        << "\",\"host\":\"desk.example\",\"prefix\":\"/q-" << service
        << "/\",\"type\":\"non_idempotent\",\"timeout_ms\":1500,"
           "\"target_latency_ms\":"
        << target_latency << ",\"priority\":0,\"service\":\"" << service
        << "\",\"max_attempts\":3,\"slack_factor\":" << slack_factor << "}";
    first = false;
  }
  out << "],\"services\":[";
  first = true;
  for (const std::string& service : services) {
    out << (first ? "" : ",") << "{\"name\":\"" << service
        << "\",\"health_path\":\"/health\",\"max_connections\":64,"
           "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
           "\"warmup_per_s\":0.0,\"enforces_capacity\":"
        << (enforces_capacity ? "true" : "false") << ",\"standby\":false}";
    first = false;
  }
  out << "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  return out.str();
}

inline std::string JobBody(const std::string& spec,
                           int count,
                           long cpu,
                           long estimate) {
  std::ostringstream out;
  out << "{\"spec\":" << Quote(spec) << ",\"best_effort\":true,\"phases\":[{"
      << "\"count\":" << count << ",\"cpu\":" << cpu
      << ",\"mem_mb\":64,\"estimate_ms\":" << estimate << "}]}";
  return out.str();
}

inline std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", 0x7a210000U + number);
  return id;
}

inline std::string ClientHeaders(long deadline) {
  return "Host: desk.example\r\nX-Deadline-Ms: " + std::to_string(deadline) +
         "\r\n";
}

inline bool WaitReady(int health_port, long limit) {
  for (const long until = Now() + limit; Now() < until; Sleep(50)) {
    if (Call(health_port, "GET", "/v1/ready", "Host: e\r\n", "", 500).status ==
        200) {
      return true;
    }
  }
  return false;
}

/// \returns true when the run is with the disruption.
inline bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Opens the record that run.sh names, and ends the program, and with it its
/// processes, before a run can take 120 seconds.
inline void Begin() {
  const char* const path = std::getenv("RECORD");
  record::Get().Open(path == nullptr ? "record.txt" : path);
  Log(HasTrouble() ? "with the disruption" : "without the disruption");
  alarm(110);
}

/// A temporary folder, named in FLEET_DIR by run.sh.
inline std::string Folder() {
  const char* const value = std::getenv("FLEET_DIR");
  return value == nullptr ? "." : value;
}

}  // namespace fleet
