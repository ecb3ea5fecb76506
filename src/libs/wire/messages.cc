#include "wire/messages.h"

#include <algorithm>
#include <msgpack.hpp>
#include <new>
#include <utility>
#include <vector>

#include "wire/bounded_unpack.h"

namespace mangoroad::wire {
namespace {

constexpr std::uint64_t kEnvelopeVersion = 1;
/// Nesting of messages between processes.
constexpr std::size_t kMaxDepth = 16;

}  // namespace

struct Writer::Private {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer{buffer};
};

Writer::Writer() : d(std::make_unique<Private>()) {}
Writer::~Writer() = default;

Writer& Writer::Array(std::size_t size) {
  this->d->packer.pack_array(static_cast<std::uint32_t>(size));
  return *this;
}
Writer& Writer::Unsigned(std::uint64_t value) {
  this->d->packer.pack_uint64(value);
  return *this;
}
Writer& Writer::Signed(std::int64_t value) {
  this->d->packer.pack_int64(value);
  return *this;
}
Writer& Writer::Real(double value) {
  this->d->packer.pack_double(value);
  return *this;
}
Writer& Writer::Bool(bool value) {
  this->d->packer.pack(value);
  return *this;
}
Writer& Writer::Text(std::string_view value) {
  this->d->packer.pack_str(static_cast<std::uint32_t>(value.size()));
  this->d->packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
  return *this;
}
Writer& Writer::Bytes(std::string_view value) {
  this->d->packer.pack_bin(static_cast<std::uint32_t>(value.size()));
  this->d->packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
  return *this;
}
std::string Writer::Take() { return {this->d->buffer.data(), this->d->buffer.size()}; }

struct Reader::Private {
  struct Level {
    const msgpack::object* next = nullptr;
    std::size_t left = 0;
  };

  // The next value, or nullptr when there is none or it has another type.
  const msgpack::object* Take(msgpack::type::object_type type) {
    while (!this->levels.empty() && this->levels.back().left == 0) this->levels.pop_back();
    if (!this->is_valid || this->levels.empty() || this->levels.back().next->type != type) {
      this->is_valid = false;
      return nullptr;
    }
    Level& level = this->levels.back();
    level.left -= 1;
    return level.next++;
  }

  msgpack::object_handle handle;
  std::vector<Level> levels;
  bool is_valid = true;
};

Reader::Reader(std::string_view bytes) : d(std::make_unique<Private>()) {
  try {
    std::size_t used = 0;
    this->d->handle = UnpackLimited(bytes, used, kMaxDepth);
    this->d->is_valid = used == bytes.size();
    this->d->levels.push_back({&this->d->handle.get(), 1});
  } catch (const msgpack::unpack_error&) {
    this->d->is_valid = false;
  } catch (const std::bad_alloc&) {
    this->d->is_valid = false;
  }
}
Reader::~Reader() = default;

std::size_t Reader::Array(std::size_t max_size) {
  const msgpack::object* object = this->d->Take(msgpack::type::ARRAY);
  if (object == nullptr) return 0;
  const std::size_t size = object->via.array.size;
  if (size > max_size) {
    this->d->is_valid = false;
    return 0;
  }
  this->d->levels.push_back({object->via.array.ptr, size});
  return size;
}

std::uint64_t Reader::Unsigned() {
  const msgpack::object* object = this->d->Take(msgpack::type::POSITIVE_INTEGER);
  return object == nullptr ? 0 : object->via.u64;
}

std::int64_t Reader::Signed() {
  const auto& levels = this->d->levels;
  const bool is_negative = this->d->is_valid && !levels.empty() && levels.back().left > 0 &&
                           levels.back().next->type == msgpack::type::NEGATIVE_INTEGER;
  const msgpack::object* object = this->d->Take(is_negative ? msgpack::type::NEGATIVE_INTEGER
                                                            : msgpack::type::POSITIVE_INTEGER);
  return object == nullptr ? 0 : object->via.i64;
}

double Reader::Real() {
  const msgpack::object* object = this->d->Take(msgpack::type::FLOAT64);
  return object == nullptr ? 0.0 : object->via.f64;
}

bool Reader::Bool() {
  const msgpack::object* object = this->d->Take(msgpack::type::BOOLEAN);
  return object != nullptr && object->via.boolean;
}

std::string Reader::Text() {
  const msgpack::object* object = this->d->Take(msgpack::type::STR);
  if (object == nullptr) return {};
  return {object->via.str.ptr, object->via.str.size};
}

std::string Reader::Bytes() {
  const msgpack::object* object = this->d->Take(msgpack::type::BIN);
  if (object == nullptr) return {};
  return {object->via.bin.ptr, object->via.bin.size};
}

bool Reader::IsValid() const { return this->d->is_valid; }

bool Reader::IsComplete() const {
  return this->d->is_valid &&
         std::ranges::all_of(this->d->levels, [](const auto& level) { return level.left == 0; });
}

std::string Encode(const Envelope& envelope) {
  Writer writer;
  writer.Array(3).Unsigned(kEnvelopeVersion).Text(envelope.kind).Bytes(envelope.payload);
  return writer.Take();
}

base::Result<Envelope, WireError> DecodeEnvelope(std::string_view bytes) {
  Reader reader(bytes);
  const bool is_known = reader.Array(3) == 3 && reader.Unsigned() == kEnvelopeVersion;
  Envelope envelope;
  envelope.kind = reader.Text();
  envelope.payload = reader.Bytes();
  if (!is_known || !reader.IsComplete() || envelope.kind.empty()) {
    return WireError{WireErrorKind::kMalformed, "the envelope is malformed"};
  }
  return envelope;
}

}  // namespace mangoroad::wire
