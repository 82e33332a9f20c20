#pragma once

// A small HTTP/1.1 server and client over blocking sockets on loopback, with
// one thread for each connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace review2 {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using std::chrono::milliseconds;

struct http_message {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  int status = 0;  // Of an answer.
};

struct http_reply {
  int status = 200;
  std::string body = "{}";
};

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Reads messages from one connection.
class message_reader {
 public:
  explicit message_reader(int fd) : fd_(fd) {}

  // Returns the next message, or nothing when the connection has ended or
  // `until` has passed.
  std::optional<http_message> Read(time_point until, bool is_answer) {
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    http_message message = ParseHead(buffer_.substr(0, end), is_answer);
    const std::size_t begin = end + 4;
    const auto length = message.headers.find("content-length");
    const std::size_t size =
        length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer_.size() < begin + size) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    message.body = buffer_.substr(begin, size);
    buffer_.erase(0, begin + size);
    return message;
  }

 private:
  static http_message ParseHead(const std::string& head, bool is_answer) {
    http_message message;
    std::size_t line_end = head.find("\r\n");
    const std::string first = head.substr(0, line_end);
    const std::size_t one = first.find(' ');
    const std::size_t two = first.find(' ', one + 1);
    if (is_answer) {
      message.status = std::stoi(first.substr(one + 1, 3));
    } else {
      message.method = first.substr(0, one);
      message.path = first.substr(one + 1, two - one - 1);
    }
    while (line_end != std::string::npos) {
      const std::size_t begin = line_end + 2;
      line_end = head.find("\r\n", begin);
      const std::string line = head.substr(
          begin, line_end == std::string::npos ? line_end : line_end - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] =
          value == std::string::npos ? "" : line.substr(value);
    }
    return message;
  }

  bool Fill(time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        until - clock_type::now() + milliseconds(1));
    if (left.count() <= 0) {
      return false;
    }
    pollfd event{fd_, POLLIN, 0};
    if (poll(&event, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

using http_handler = std::function<http_reply(const http_message&)>;

// Serves `handler` on a loopback port until the process ends. Returns false
// when the port is taken.
inline bool Serve(std::uint16_t port, http_handler handler) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in address = Loopback(port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, 512) != 0) {
    close(listener);
    return false;
  }
  std::thread([listener, handler = std::move(handler)] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      std::thread([fd, &handler] {
        const int no_delay = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
        message_reader reader(fd);
        while (const auto request = reader.Read(
                   clock_type::now() + std::chrono::hours(1), false)) {
          const http_reply reply = handler(*request);
          if (!SendAll(fd, "HTTP/1.1 " + std::to_string(reply.status) +
                               " Status\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(reply.body.size()) + "\r\n\r\n" +
                               reply.body)) {
            break;
          }
        }
        close(fd);
      }).detach();
    }
  }).detach();
  return true;
}

// Makes one call on a connection of its own. Returns nothing when there is no
// whole answer within `timeout`.
inline std::optional<http_message> Call(std::uint16_t port,
                                        const std::string& method,
                                        const std::string& path,
                                        const std::string& headers,
                                        const std::string& body,
                                        milliseconds timeout) {
  const time_point until = clock_type::now() + timeout;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  std::optional<http_message> answer;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
      SendAll(fd, method + " " + path + " HTTP/1.1\r\n" + headers +
                      "Content-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
    answer = message_reader(fd).Read(until, true);
  }
  close(fd);
  return answer;
}

// The link of one machine to a service: a proxy that passes on what the service
// sends at `bits_per_s` for all its connections together.
class slow_link {
 public:
  slow_link(std::uint16_t target, double bits_per_s)
      : target_(target), bits_per_s_(bits_per_s) {}

  bool Start(std::uint16_t port) {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(listener, 512) != 0) {
      close(listener);
      return false;
    }
    std::thread([this, listener] {
      while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          std::thread([this, fd] { Forward(fd); }).detach();
        }
      }
    }).detach();
    return true;
  }

 private:
  void Forward(int client) {
    const int service = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(target_);
    if (connect(service, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0) {
      // A small window, as on the links of the deployment.
      const int window = 64 * 1024;
      setsockopt(client, SOL_SOCKET, SO_SNDBUF, &window, sizeof(window));
      std::thread up([client, service] { Pump(client, service, nullptr); });
      Pump(service, client, this);
      up.join();
    }
    close(client);
    close(service);
  }

  static void Pump(int from, int to, slow_link* link) {
    char bytes[8192];
    ssize_t count = 0;
    while ((count = recv(from, bytes, sizeof(bytes), 0)) > 0) {
      if (link != nullptr) {
        link->Wait(static_cast<std::size_t>(count));
      }
      if (!SendAll(to, std::string(bytes, static_cast<std::size_t>(count)))) {
        break;
      }
    }
    shutdown(from, SHUT_RDWR);
    shutdown(to, SHUT_RDWR);
  }

  // Waits until `size` bytes have passed the link.
  void Wait(std::size_t size) {
    const std::chrono::duration<double> time(8.0 * static_cast<double>(size) /
                                             bits_per_s_);
    time_point end;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      free_at_ = std::max(free_at_, clock_type::now()) +
                 std::chrono::duration_cast<clock_type::duration>(time);
      end = free_at_;
    }
    std::this_thread::sleep_until(end);
  }

  const std::uint16_t target_;
  const double bits_per_s_;
  std::mutex mutex_;
  time_point free_at_;
};

}  // namespace review2
