#include "lending/lending_codec.h"

#include <algorithm>
#include <msgpack.hpp>
#include <span>

#include "wire/bounded_unpack.h"

namespace mangoroad::lending {
namespace {

constexpr int kFormatVersion = 1;

using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer& packer, Amount amount) {
  packer.pack(amount.slots);
  packer.pack(amount.connections);
}

void Pack(Packer& packer, Fence fence) {
  packer.pack(fence.incarnation);
  packer.pack(fence.epoch);
}

void PackItem(Packer& packer, const BorrowItem& item) {
  packer.pack_array(8);
  packer.pack(item.target);
  Pack(packer, item.fence);
  packer.pack(item.adopted_lease);
  Pack(packer, item.wanted);
  Pack(packer, item.limit);
}

void PackItem(Packer& packer, const LendItem& item) {
  packer.pack_array(7);
  packer.pack(item.target);
  Pack(packer, item.fence);
  packer.pack(item.lease_number);
  Pack(packer, item.amount);
  packer.pack(item.duration.count());
}

template <typename Message>
std::string EncodeAs(const std::string& owner, const std::string& holder, std::uint64_t number,
                     const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(5);
  packer.pack(kFormatVersion);
  packer.pack(owner);
  packer.pack(holder);
  packer.pack(number);
  packer.pack_array(static_cast<std::uint32_t>(message.items.size()));
  for (const auto& item : message.items) PackItem(packer, item);
  return {buffer.data(), buffer.size()};
}

// Reads the elements of an array in order. For an array of unexpected size, IsValid() is false and
// all elements are empty. msgpack throws for a wrong type, which DecodeAs() turns into an error.
class Reader {
 public:
  Reader(const msgpack::object& object, std::uint32_t size)
      : array(object),
        valid(object.type == msgpack::type::ARRAY && object.via.array.size == size) {}

  [[nodiscard]] bool IsValid() const { return this->valid; }

  template <typename Value>
  Value Next() {
    if (!this->valid) return {};
    return this->array.via.array.ptr[this->position++].as<Value>();
  }
  Amount NextAmount() {
    const auto slots = this->Next<std::int32_t>();
    return {slots, this->Next<std::int32_t>()};
  }
  Fence NextFence() {
    const auto incarnation = this->Next<std::uint64_t>();
    return {incarnation, this->Next<std::uint64_t>()};
  }
  /// The elements of a nested array. Empty, with IsValid() false, when the element is no array.
  std::span<const msgpack::object> NextArray() {
    if (!this->valid) return {};
    const msgpack::object& element = this->array.via.array.ptr[this->position++];
    this->valid = element.type == msgpack::type::ARRAY;
    if (!this->valid) return {};
    return {element.via.array.ptr, element.via.array.size};
  }

 private:
  const msgpack::object& array;
  std::uint32_t position = 0;
  bool valid;
};

bool ReadItem(const msgpack::object& object, BorrowItem& item) {
  Reader reader(object, 8);
  item.target = reader.Next<std::string>();
  item.fence = reader.NextFence();
  item.adopted_lease = reader.Next<std::uint64_t>();
  item.wanted = reader.NextAmount();
  item.limit = reader.NextAmount();
  return reader.IsValid();
}

bool ReadItem(const msgpack::object& object, LendItem& item) {
  Reader reader(object, 7);
  item.target = reader.Next<std::string>();
  item.fence = reader.NextFence();
  item.lease_number = reader.Next<std::uint64_t>();
  item.amount = reader.NextAmount();
  item.duration = base::Duration(reader.Next<base::Duration::rep>());
  return reader.IsValid();
}

const CodecError kNotOneArray{CodecErrorKind::kMalformed, "an array has another size or type"};

template <typename Message>
base::Result<Message, CodecError> DecodeAs(std::string_view bytes, std::string Message::* owner,
                                           std::string Message::* holder,
                                           std::uint64_t Message::* number) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = wire::UnpackLimited(bytes, offset);
    if (offset != bytes.size()) {
      return CodecError{CodecErrorKind::kMalformed,
                        std::to_string(bytes.size() - offset) + " bytes after the message"};
    }
    Reader reader(handle.get(), 5);
    const int version = reader.Next<int>();
    if (!reader.IsValid()) return kNotOneArray;
    if (version != kFormatVersion) {
      return CodecError{CodecErrorKind::kUnknownVersion,
                        "format version " + std::to_string(version)};
    }
    Message message;
    message.*owner = reader.Next<std::string>();
    message.*holder = reader.Next<std::string>();
    message.*number = reader.Next<std::uint64_t>();
    const auto items = reader.NextArray();
    message.items.resize(items.size());
    const bool whole = std::ranges::equal(
        items, message.items,
        [](const msgpack::object& object, auto& item) { return ReadItem(object, item); });
    if (!whole || !reader.IsValid()) return kNotOneArray;
    return message;
  } catch (const std::exception& failure) {
    return CodecError{CodecErrorKind::kMalformed, failure.what()};
  }
}

}  // namespace

std::string Encode(const BorrowRequest& message) {
  return EncodeAs(message.owner, message.holder, message.number, message);
}

std::string Encode(const LendMessage& message) {
  return EncodeAs(message.owner, message.holder, message.request_number, message);
}

base::Result<BorrowRequest, CodecError> DecodeBorrowRequest(std::string_view bytes) {
  return DecodeAs(bytes, &BorrowRequest::owner, &BorrowRequest::holder, &BorrowRequest::number);
}

base::Result<LendMessage, CodecError> DecodeLendMessage(std::string_view bytes) {
  return DecodeAs(bytes, &LendMessage::owner, &LendMessage::holder, &LendMessage::request_number);
}

}  // namespace mangoroad::lending
