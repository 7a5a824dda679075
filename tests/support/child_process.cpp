#include "support/child_process.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace shallotwood::support
{

namespace
{

constexpr useconds_t poll_microseconds = 5000;

std::string make_directory()
{
    std::string path =
        (std::filesystem::temp_directory_path() / "shallotwood-XXXXXX")
            .string();
    if (!::mkdtemp(path.data()))
        throw std::runtime_error("can't make a temporary directory");
    return path;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

void pause_between_polls()
{
    ::usleep(poll_microseconds);
}

child_process::child_process(const std::string& program,
                             std::vector<std::string> arguments)
    : directory_(make_directory())
{
    arguments.insert(arguments.begin(),
                     std::string(PROGRAM_DIRECTORY "/") + program);
    arguments.push_back("--port-file=" + directory_ + "/ports");
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& it : arguments)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO,
                                       (directory_ + "/log").c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0600);
    int ec =
        ::posix_spawn(&id_, argv[0], &actions, nullptr, argv.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (ec != 0)
        throw std::runtime_error("can't start " + program);
    read_ports();
}

child_process::~child_process()
{
    if (!poll_status()) {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void child_process::read_ports()
{
    auto path = directory_ + "/ports";
    bool written = eventually([&] {
        return std::filesystem::exists(path) || poll_status().has_value();
    });
    std::ifstream file(path);
    for (std::uint16_t port = 0; file >> port;)
        ports_.push_back(port);
    if (!written || ports_.empty())
        throw std::runtime_error("no ports: " + log());
}

void child_process::signal(int number) const
{
    ::kill(id_, number);
}

std::optional<int> child_process::poll_status()
{
    int raw = 0;
    if (!status_ && ::waitpid(id_, &raw, WNOHANG) == id_)
        status_ = WIFEXITED(raw) ? WEXITSTATUS(raw) : -1;
    return status_;
}

int child_process::wait()
{
    eventually([this] { return poll_status().has_value(); });
    return status_.value_or(-1);
}

std::string child_process::log() const
{
    return read_file(directory_ + "/log");
}

std::size_t child_process::peak_kilobytes() const
{
    auto text = read_file("/proc/" + std::to_string(id_) + "/status");
    auto n = text.find("VmHWM:");
    return n == std::string::npos
               ? 0
               : std::strtoull(text.c_str() + n + 6, nullptr, 10);
}

} // namespace shallotwood::support
