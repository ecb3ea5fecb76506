// Blocking HTTP/1.1 client and server on loopback, as far as the stand-ins need it.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

struct Address {
  std::string ip;
  int port = 0;
};
std::string ToText(const Address& address);
Address ParseAddress(const std::string& text);

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 0;  // 0: none arrived
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Sends one request over a connection of its own.
Response Send(const Address& to, const Request& request, int timeout_ms);

/// One thread per connection. Stop() closes everything with a reset, as the crash of a process
/// does.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  Server(Address address, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  void Stop();

 private:
  void Accept();
  void Serve(int fd);

  Handler handle;
  int listener = -1;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::set<int> open;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

}  // namespace lab
