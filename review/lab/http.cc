#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <stdexcept>

namespace lab {
namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

int MillisecondsUntil(Clock::time_point end) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

bool WaitFor(int fd, short events, Clock::time_point end) {
  pollfd item{fd, events, 0};
  return poll(&item, 1, MillisecondsUntil(end)) == 1;
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Reads up to `end`; false when the connection ended or the time is over.
bool ReadMore(int fd, std::string& buffer, Clock::time_point end) {
  if (!WaitFor(fd, POLLIN, end)) return false;
  char bytes[16384];
  const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
  if (count <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

std::optional<Message> ReadMessage(int fd, std::string& buffer, Clock::time_point end) {
  std::size_t head = std::string::npos;
  while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, buffer, end)) return std::nullopt;
  }
  Message message;
  std::size_t position = buffer.find("\r\n");
  message.first_line = buffer.substr(0, position);
  while (position < head) {
    const std::size_t next = buffer.find("\r\n", position + 2);
    const std::string line = buffer.substr(position + 2, next - position - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    position = next;
  }
  buffer.erase(0, head + 4);
  const auto length = message.headers.find("content-length");
  const std::size_t size =
      length == message.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
  while (buffer.size() < size) {
    if (!ReadMore(fd, buffer, end)) return std::nullopt;
  }
  message.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return message;
}

bool WriteAll(int fd, const std::string& bytes, Clock::time_point end) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    if (!WaitFor(fd, POLLOUT, end)) return false;
    const ssize_t count = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}

void CloseWithReset(int fd) {
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(fd);
}

}  // namespace

std::string ToText(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

Address ParseAddress(const std::string& text) {
  const std::size_t colon = text.find(':');
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

Response Send(const Address& to, const Request& request, int timeout_ms) {
  const Clock::time_point end = Clock::now() + std::chrono::milliseconds(timeout_ms);
  Response response;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return response;
  const sockaddr_in address = ToSockaddr(to);
  const int connected = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  int error = 0;
  socklen_t size = sizeof(error);
  if ((connected != 0 && errno != EINPROGRESS) || !WaitFor(fd, POLLOUT, end) ||
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    close(fd);
    return response;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
  if (!request.headers.contains("host")) text += "Host: " + ToText(to) + "\r\n";
  for (const auto& [name, value] : request.headers) text += name + ": " + value + "\r\n";
  if (!request.body.empty()) text += "Content-Type: application/json\r\n";
  text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  std::string buffer;
  if (WriteAll(fd, text, end)) {
    if (auto message = ReadMessage(fd, buffer, end)) {
      const std::size_t space = message->first_line.find(' ');
      if (space != std::string::npos) {
        response.status = std::atoi(message->first_line.c_str() + space);
      }
      response.headers = std::move(message->headers);
      response.body = std::move(message->body);
    }
  }
  close(fd);
  return response;
}

Server::Server(Address address, Handler handler) : handle(std::move(handler)) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = ToSockaddr(address);
  if (bind(this->listener, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
      listen(this->listener, 256) != 0) {
    throw std::runtime_error("can't listen on " + ToText(address));
  }
  this->acceptor = std::thread([this] { this->Accept(); });
}

Server::~Server() { this->Stop(); }

void Server::Stop() {
  if (this->stopping.exchange(true)) return;
  shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  close(this->listener);
  {
    const std::scoped_lock lock(this->mutex);
    // The linger option makes the close by Serve() a reset.
    for (const int fd : this->open) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(fd, SHUT_RD);
    }
  }
  for (std::thread& thread : this->threads) thread.join();
}

void Server::Accept() {
  while (!this->stopping) {
    const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (this->stopping || errno == EINVAL) return;
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::scoped_lock lock(this->mutex);
    this->open.insert(fd);
    this->threads.emplace_back([this, fd] { this->Serve(fd); });
  }
}

void Server::Serve(int fd) {
  std::string buffer;
  while (!this->stopping) {
    const auto message = ReadMessage(fd, buffer, Clock::now() + std::chrono::seconds(150));
    if (!message || this->stopping) break;
    Request request;
    const std::size_t first = message->first_line.find(' ');
    const std::size_t second = message->first_line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) break;
    request.method = message->first_line.substr(0, first);
    request.path = message->first_line.substr(first + 1, second - first - 1);
    request.headers = message->headers;
    request.body = message->body;
    const Response response = this->handle(request);
    if (this->stopping || response.status == 0) break;
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " X\r\n";
    for (const auto& [name, value] : response.headers) text += name + ": " + value + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    if (!WriteAll(fd, text, Clock::now() + std::chrono::seconds(10))) break;
  }
  const std::scoped_lock lock(this->mutex);
  this->open.erase(fd);
  if (this->stopping) {
    CloseWithReset(fd);
  } else {
    close(fd);
  }
}

}  // namespace lab
