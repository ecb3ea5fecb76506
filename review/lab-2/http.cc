#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <optional>
#include <stdexcept>

namespace lab2 {
namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

bool WriteAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Waits until the socket is readable; false at the deadline.
bool WaitReadable(int socket, Clock::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
  pollfd watched{socket, POLLIN, 0};
  return left > 0 && poll(&watched, 1, static_cast<int>(left)) > 0;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Reads one message; `rest` keeps what belongs to the next one.
std::optional<Message> Read(int socket, std::string& rest, Clock::time_point deadline) {
  const auto more = [&] {
    char buffer[65536];
    if (!WaitReadable(socket, deadline)) return false;
    const ssize_t count = recv(socket, buffer, sizeof buffer, 0);
    if (count <= 0) return false;
    rest.append(buffer, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t head_end = 0;
  while ((head_end = rest.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return std::nullopt;
  }
  Message message;
  std::size_t begin = rest.find("\r\n");
  message.first_line = rest.substr(0, begin);
  while (begin < head_end) {
    const std::size_t end = rest.find("\r\n", begin + 2);
    const std::string line = rest.substr(begin + 2, end - begin - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    begin = end;
  }
  const std::size_t length = message.headers.contains("content-length")
                                 ? std::stoul(message.headers["content-length"])
                                 : 0;
  while (rest.size() < head_end + 4 + length) {
    if (!more()) return std::nullopt;
  }
  message.body = rest.substr(head_end + 4, length);
  rest.erase(0, head_end + 4 + length);
  return message;
}

}  // namespace

Address ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

Response Send(const Address& to, const Request& request, int timeout_ms) {
  const auto deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocketAddress(to);
  Response response;
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    if (!request.headers.contains("host")) text += "Host: " + to.Text() + "\r\n";
    for (const auto& [name, value] : request.headers) text += name + ": " + value + "\r\n";
    text +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) +
        "\r\n\r\n" + request.body;
    std::string rest;
    if (WriteAll(socket, text)) {
      if (auto message = Read(socket, rest, deadline)) {
        response = {std::stoi(message->first_line.substr(9)), std::move(message->headers),
                    std::move(message->body)};
      }
    }
  }
  close(socket);
  return response;
}

Response SendAndFollow(const Address& to, const Request& request, int timeout_ms) {
  Response response = Send(to, request, timeout_ms);
  for (int i = 0; i < 2 && response.status == 307; ++i) {
    const std::string url = response.headers["location"].substr(7);
    response = Send(ParseAddress(url.substr(0, url.find('/'))), request, timeout_ms);
  }
  return response;
}

Server::Server(const Address& address, Handler request_handler)
    : handler(std::move(request_handler)) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in bound = ToSocketAddress(address);
  if (bind(this->listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 ||
      listen(this->listener, 128) != 0) {
    throw std::runtime_error("can't listen on " + address.Text());
  }
  this->acceptor = std::thread([this] { this->Accept(); });
}

Server::~Server() {
  this->is_stopping = true;
  shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  close(this->listener);
  {
    const std::lock_guard lock(this->mutex);
    for (const int socket : this->sockets) shutdown(socket, SHUT_RDWR);
  }
  for (std::thread& thread : this->threads) thread.join();
}

void Server::Accept() {
  while (!this->is_stopping) {
    const int socket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(this->mutex);
    this->sockets.push_back(socket);
    this->threads.emplace_back([this, socket] { this->Serve(socket); });
  }
}

void Server::Serve(int socket) {
  std::string rest;
  while (!this->is_stopping) {
    auto message = Read(socket, rest, Clock::now() + std::chrono::minutes(5));
    if (!message) break;
    const std::string& line = message->first_line;
    const std::size_t space = line.find(' ');
    Request request{line.substr(0, space), line.substr(space + 1, line.rfind(' ') - space - 1),
                    std::move(message->headers), std::move(message->body)};
    const Response response = this->handler(request);
    if (response.status == 0) break;
    if (!WriteAll(socket, "HTTP/1.1 " + std::to_string(response.status) +
                              " -\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(response.body.size()) + "\r\n\r\n" + response.body)) {
      break;
    }
  }
  shutdown(socket, SHUT_RDWR);
  const std::lock_guard lock(this->mutex);
  std::erase(this->sockets, socket);
  close(socket);
}

}  // namespace lab2
