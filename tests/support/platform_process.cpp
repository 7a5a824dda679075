#include "support/platform_process.hpp"

#include <catch2/catch.hpp>
#include <cstdio>
#include <libsoup/soup.h>
#include <stdexcept>

namespace shallotwood::test
{

namespace
{

constexpr unsigned watchdog_seconds = 60;

std::vector<std::string> command_of(const std::string& name,
                                    const std::vector<std::string>& arguments)
{
    std::vector<std::string> command{PROGRAM_DIRECTORY "/" + name};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return command;
}

GSubprocess* start(const std::vector<std::string>& command, int flags)
{
    std::vector<const char*> argv;
    argv.reserve(command.size() + 1);
    for (const auto& it : command)
        argv.push_back(it.c_str());
    argv.push_back(nullptr);
    GError* error = nullptr;
    auto* process = g_subprocess_newv(
        argv.data(), static_cast<GSubprocessFlags>(flags), &error);
    if (!process) {
        std::string message = error->message;
        g_error_free(error);
        throw std::runtime_error(message);
    }
    return process;
}

std::string take(char* text)
{
    std::string result(text ? text : "");
    g_free(text);
    return result;
}

} // namespace

run_result run_program(const std::string& name,
                       const std::vector<std::string>& arguments,
                       const std::string& input)
{
    auto* process =
        start(command_of(name, arguments), G_SUBPROCESS_FLAGS_STDIN_PIPE |
                                               G_SUBPROCESS_FLAGS_STDOUT_PIPE |
                                               G_SUBPROCESS_FLAGS_STDERR_PIPE);
    char* output = nullptr;
    char* errors = nullptr;
    g_subprocess_communicate_utf8(process, input.c_str(), nullptr, &output,
                                  &errors, nullptr);
    run_result result;
    result.output = take(output);
    result.errors = take(errors);
    if (g_subprocess_get_if_exited(process))
        result.exit_code = g_subprocess_get_exit_status(process);
    g_object_unref(process);
    return result;
}

void iterate_until(const std::function<bool()>& done)
{
    bool expired = false;
    auto* watchdog = g_timeout_source_new_seconds(watchdog_seconds);
    g_source_set_callback(
        watchdog,
        [](gpointer data) -> gboolean {
            *static_cast<bool*>(data) = true;
            return G_SOURCE_REMOVE;
        },
        &expired, nullptr);
    g_source_attach(watchdog, nullptr);
    while (!done() && !expired)
        g_main_context_iteration(nullptr, TRUE);
    g_source_destroy(watchdog);
    g_source_unref(watchdog);
    REQUIRE_FALSE(expired);
}

platform_process::platform_process(const std::vector<std::string>& arguments)
{
    auto command =
        command_of("platform_standin",
                   {"--port=0", "--control-port=0", "--exit-with-stdin"});
    command.insert(command.end(), arguments.begin(), arguments.end());
    process_ = start(command, G_SUBPROCESS_FLAGS_STDIN_PIPE |
                                  G_SUBPROCESS_FLAGS_STDOUT_PIPE);
    auto* lines =
        g_data_input_stream_new(g_subprocess_get_stdout_pipe(process_));
    auto line =
        take(g_data_input_stream_read_line(lines, nullptr, nullptr, nullptr));
    g_object_unref(lines);
    if (std::sscanf(line.c_str(), "ready port=%hu control_port=%hu", &port_,
                    &control_port_) != 2)
        throw std::runtime_error("platform_standin did not start: " + line);
}

platform_process::~platform_process()
{
    g_subprocess_force_exit(process_);
    g_subprocess_wait(process_, nullptr, nullptr);
    g_object_unref(process_);
}

std::string platform_process::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

std::string platform_process::control(const std::string& json)
{
    auto* session = soup_session_new();
    soup_session_set_proxy_resolver(session, nullptr);
    auto uri = "http://127.0.0.1:" + std::to_string(control_port_) + "/control";
    auto* message = soup_message_new("POST", uri.c_str());
    auto* body = g_bytes_new(json.data(), json.size());
    soup_message_set_request_body_from_bytes(message, "application/json", body);
    g_bytes_unref(body);
    auto* answer =
        soup_session_send_and_read(session, message, nullptr, nullptr);
    std::string text;
    if (answer && soup_message_get_status(message) == SOUP_STATUS_OK) {
        gsize size = 0;
        const auto* data =
            static_cast<const char*>(g_bytes_get_data(answer, &size));
        text.assign(data, size);
    }
    g_clear_pointer(&answer, g_bytes_unref);
    g_object_unref(message);
    g_object_unref(session);
    return text;
}

} // namespace shallotwood::test
