// A minimal HTTP/1.1 server and client for the stand-ins: bodies with Content-Length, one thread a
// connection.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lab2 {

struct Address {
  std::string ip;
  int port = 0;
  [[nodiscard]] std::string Text() const { return this->ip + ":" + std::to_string(this->port); }
};

Address ParseAddress(const std::string& text);

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

/// Status 0: no response, the connection was closed or broke.
struct Response {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Sends a request over a new connection. With a wait of 0 the connection is closed without reading
/// the response.
Response Send(const Address& to, const Request& request, int timeout_ms);

/// Follows a 307 twice, as callers of `control` do.
Response SendAndFollow(const Address& to, const Request& request, int timeout_ms);

/// A response of status 0 closes the connection without an answer.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  Server(const Address& address, Handler request_handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  void Accept();
  void Serve(int socket);

  Handler handler;
  std::atomic<bool> is_stopping = false;
  int listener = -1;
  std::mutex mutex;
  std::vector<int> sockets;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

}  // namespace lab2
