#include "process/keyed_hash.hpp"

#include <sodium.h>
#include <stdexcept>
#include <xxhash.h>

namespace shallotwood::process
{

namespace
{

constexpr int base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

void require_sodium()
{
    static const bool ready = sodium_init() >= 0;
    if (!ready)
        throw std::runtime_error("libsodium could not be initialised");
}

// crypto_auth takes a key of a fixed size; a secret of another size is hashed.
std::string auth_key(std::string_view secret)
{
    static_assert(crypto_auth_KEYBYTES == hash_bytes);
    if (secret.size() == hash_bytes)
        return std::string(secret);
    std::string key(hash_bytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char*>(key.data()), hash_bytes,
                       bytes_of(secret), secret.size(), nullptr, 0);
    return key;
}

} // namespace

std::string keyed_hash(std::string_view text, std::string_view secret)
{
    require_sodium();
    static_assert(crypto_auth_BYTES == hash_bytes);
    std::string hash(hash_bytes, '\0');
    auto key = auth_key(secret);
    crypto_auth(reinterpret_cast<unsigned char*>(hash.data()), bytes_of(text),
                text.size(), bytes_of(key));
    return hash;
}

bool keyed_hash_matches(std::string_view hash, std::string_view text,
                        std::string_view secret)
{
    require_sodium();
    if (hash.size() != hash_bytes)
        return false;
    auto key = auth_key(secret);
    return crypto_auth_verify(bytes_of(hash), bytes_of(text), text.size(),
                              bytes_of(key)) == 0;
}

std::string hash_api_key(std::string_view key)
{
    require_sodium();
    unsigned char hash[hash_bytes];
    crypto_generichash(hash, sizeof hash, bytes_of(key), key.size(), nullptr,
                       0);
    std::string text(2 * hash_bytes + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash, sizeof hash);
    text.pop_back();
    return text;
}

std::string random_token(std::size_t count)
{
    require_sodium();
    std::string bytes(count, '\0');
    randombytes_buf(bytes.data(), bytes.size());
    return to_base64(bytes);
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string to_base64(std::string_view bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), base64_variant),
                     '\0');
    sodium_bin2base64(text.data(), text.size(), bytes_of(bytes), bytes.size(),
                      base64_variant);
    text.pop_back();
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t n = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                          bytes.size(), text.data(), text.size(), nullptr, &n,
                          nullptr, base64_variant) != 0)
        return std::nullopt;
    bytes.resize(n);
    return bytes;
}

} // namespace shallotwood::process
