// The header Shallotwood-Context, once without and once with a valid keyed
// hash in front, so that the JSON behind it is reached too.
#include "process/keyed_hash.hpp"
#include "request/call_context.hpp"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace shallotwood;
    static const std::string secret(process::hash_bytes, 's');
    std::string text(reinterpret_cast<const char*>(data), size);
    request::unseal(text, secret);
    auto sealed = process::to_base64(process::keyed_hash(text, secret) + text);
    auto result = request::unseal(sealed, secret);
    if (auto* it = std::get_if<request::call_context>(&result))
        request::unseal(request::seal(*it, secret), secret);
    return 0;
}
