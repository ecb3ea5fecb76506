// Feeds arbitrary bytes, in pieces whose sizes they determine, to both sides of a session and to
// the msgpack reader. No input may establish a session without the key.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "wire/session.h"

namespace {

using mangoroad::wire::KeyRing;
using mangoroad::wire::Session;

void Feed(Session session, std::string_view input) {
  while (!input.empty()) {
    const std::size_t piece = 1 + static_cast<unsigned char>(input.front());
    const auto received = session.Receive(input.substr(0, piece));
    if (session.IsEstablished()) std::abort();
    if (!mangoroad::base::Ok(received)) return;
    input.remove_prefix(std::min(piece, input.size()));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const KeyRing keys = mangoroad::base::ValueOf(KeyRing::Parse("a " + std::string(64, 'a')));
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  Feed(Session::Accept("vm2", keys, {}), input);
  Feed(Session::Initiate("vm1", "vm2", keys, {}), input);
  (void)mangoroad::wire::DecodeEnvelope(input);
  return 0;
}
