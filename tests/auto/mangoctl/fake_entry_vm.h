// A hand-written fake of the HTTP side of an entry VM, on a loopback port and a thread of its own.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mangoroad::mangoctl {

struct FakeRequest {
  std::string method;
  /// Path with query.
  std::string path;
  std::string token;
  std::string body;
};

struct FakeAnswer {
  int status = 200;
  std::string body = "{}";
  /// The connection ends without an answer.
  bool is_lost = false;
  /// No answer and no end of the connection.
  bool is_silent = false;
};

class FakeEntryVm {
 public:
  using Handler = std::function<FakeAnswer(const FakeRequest&)>;

  /// The handler runs on the thread of the fake.
  explicit FakeEntryVm(Handler handler);
  ~FakeEntryVm();
  FakeEntryVm(const FakeEntryVm&) = delete;
  FakeEntryVm& operator=(const FakeEntryVm&) = delete;

  std::string Address() const;
  std::vector<FakeRequest> Requests() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::mangoctl
