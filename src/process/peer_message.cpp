#include "process/peer_message.hpp"

#include "process/keyed_hash.hpp"

#include <array>
#include <charconv>
#include <exception>
#include <gio/gio.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace shallotwood::process
{

namespace
{

constexpr char uncompressed_format = 0;
constexpr char deflate_format = 1;
constexpr std::size_t header_bytes = hash_bytes + 1;
// Shorter texts don't shrink enough to be worth the CPU time.
constexpr std::size_t min_compression_bytes = 400;
constexpr int compression_level = 6;

// Runs all of the input through the converter. Empty if it fails or the output
// exceeds `limit` bytes.
std::optional<std::string>
run_converter(GConverter* converter, std::string_view input, std::size_t limit)
{
    std::string output;
    std::array<char, 16'384> buf{};
    while (true) {
        gsize consumed = 0;
        gsize produced = 0;
        auto result = g_converter_convert(
            converter, input.data(), input.size(), buf.data(), buf.size(),
            G_CONVERTER_INPUT_AT_END, &consumed, &produced, nullptr);
        if (result == G_CONVERTER_ERROR || output.size() + produced > limit)
            return std::nullopt;
        output.append(buf.data(), produced);
        input.remove_prefix(consumed);
        if (result == G_CONVERTER_FINISHED)
            return output;
    }
}

std::optional<std::string> compress(std::string_view text)
{
    auto* converter =
        g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW, compression_level);
    auto result = run_converter(G_CONVERTER(converter), text, text.size());
    g_object_unref(converter);
    return result;
}

std::optional<std::string> decompress(std::string_view bytes)
{
    auto* converter = g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW);
    auto result =
        run_converter(G_CONVERTER(converter), bytes, max_message_bytes);
    g_object_unref(converter);
    return result;
}

std::string to_text(const peer_address& it)
{
    return it.host + ':' + std::to_string(it.port);
}

std::optional<peer_address> parse_address(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    peer_address it;
    it.host = text.substr(0, colon);
    const auto* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, it.port);
    if (ec != std::errc() || rest != end)
        return std::nullopt;
    return it;
}

} // namespace

std::string_view name_of(message_error it)
{
    switch (it) {
    case message_error::too_large:
        return "too-large";
    case message_error::unauthenticated:
        return "unauthenticated";
    case message_error::malformed:
        return "malformed";
    case message_error::unknown_method:
        return "unknown-method";
    }
    return "";
}

// The client side of libjsonrpccpp declares dynamic exception specifications,
// which C++17 rejects, so the request's members are set here.
std::variant<std::string, message_error>
encode_message(const peer_message& it, std::string_view fleet_secret)
{
    Json::Value call;
    call["jsonrpc"] = "2.0";
    call["method"] = it.method;
    call["params"]["from"] = to_text(it.from);
    call["params"]["body"] = it.body;
    static const auto builder = [] {
        Json::StreamWriterBuilder made;
        made["indentation"] = "";
        return made;
    }();
    auto text = Json::writeString(builder, call);
    if (text.size() > max_message_bytes)
        return message_error::too_large;
    std::string content(1, uncompressed_format);
    auto deflated =
        text.size() >= min_compression_bytes ? compress(text) : std::nullopt;
    if (deflated) {
        content[0] = deflate_format;
        content += *deflated;
    } else {
        content += text;
    }
    return keyed_hash(to_text(it.to) + content, fleet_secret) + content;
}

std::variant<std::string, message_error>
decode_message(std::string_view encoded, const peer_address& receiver,
               std::string_view fleet_secret)
{
    if (encoded.size() > max_message_bytes + header_bytes)
        return message_error::too_large;
    if (encoded.size() <= header_bytes)
        return message_error::malformed;
    auto content = encoded.substr(hash_bytes);
    auto hashed = to_text(receiver).append(content);
    if (!keyed_hash_matches(encoded.substr(0, hash_bytes), hashed,
                            fleet_secret))
        return message_error::unauthenticated;
    auto format = content[0];
    content.remove_prefix(1);
    if (format == uncompressed_format)
        return std::string(content);
    if (format != deflate_format)
        return message_error::malformed;
    if (auto text = decompress(content))
        return *text;
    return message_error::malformed;
}

notification_dispatcher::notification_dispatcher()
    : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
          jsonrpc::JSONRPC_SERVER_V2, *this))
{
}

notification_dispatcher::~notification_dispatcher() = default;

void notification_dispatcher::subscribe(const std::string& method,
                                        peer_transport::handler it)
{
    if (handlers_.count(method) == 0) {
        jsonrpc::Procedure procedure(method, jsonrpc::PARAMS_BY_NAME, "from",
                                     jsonrpc::JSON_STRING, nullptr);
        protocol_->AddProcedure(procedure);
    }
    handlers_[method] = std::move(it);
}

std::optional<message_error>
notification_dispatcher::dispatch(const std::string& text)
{
    outcome_ = message_error::malformed;
    std::string answer;
    try {
        protocol_->HandleRequest(text, answer);
    } catch (const Json::Exception&) {
        // The JSON is nested deeper than the parser allows.
        return message_error::malformed;
    }
    static const auto not_found =
        std::to_string(jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND);
    if (outcome_ && answer.find(not_found) != std::string::npos)
        return message_error::unknown_method;
    return outcome_;
}

// Never called: no method with a reply is registered.
void notification_dispatcher::HandleMethodCall(jsonrpc::Procedure&,
                                               const Json::Value&, Json::Value&)
{
}

void notification_dispatcher::HandleNotificationCall(jsonrpc::Procedure& it,
                                                     const Json::Value& input)
{
    auto from = parse_address(input["from"].asString());
    if (!from)
        return;
    // A copy, because the handler may send to this node again or subscribe.
    auto handler = handlers_[it.GetProcedureName()];
    outcome_.reset();
    handler(*from, input["body"]);
}

} // namespace shallotwood::process
