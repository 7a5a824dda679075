// Hashes, random bytes and base64, by libsodium and xxHash.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::process
{

// Size of the hashes below, and of the fleet secret.
constexpr std::size_t hash_bytes = 32;

// HMAC-SHA-512-256 of `text` under a secret of any length.
std::string keyed_hash(std::string_view text, std::string_view secret);

// Compares in constant time.
bool keyed_hash_matches(std::string_view hash, std::string_view text,
                        std::string_view secret);

// BLAKE2b hash of an API key in hexadecimal, as stored in the configuration.
// Keys are 32 random bytes, so an unsalted hash can't be reversed by search.
std::string hash_api_key(std::string_view key);

// `count` bytes from the system's secure random generator, in URL-safe base64.
std::string random_token(std::size_t count);

// XXH3 hash, the same on every node. Not cryptographic.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

std::string to_base64(std::string_view bytes);
// Empty if the text is not base64 (URL-safe, without padding).
std::optional<std::string> from_base64(std::string_view text);

} // namespace shallotwood::process
