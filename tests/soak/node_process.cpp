#include "soak/node_process.hpp"

#include "process/address.hpp"
#include "soak/soak_backend.hpp"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace shallotwood::soak
{

node_process::node_process(std::string program, const std::string& directory,
                           const std::string& service,
                           const std::string& domain, node_addresses at,
                           const process::peer_address& backend,
                           const process::peer_address& store,
                           const std::vector<process::peer_address>& seeds)
    : program_(std::move(program)),
      settings_file_(directory + '/' + at.host + ".toml"),
      log_file_(directory + '/' + at.host + ".log"), service_(service),
      at_(std::move(at))
{
    std::ostringstream file;
    auto address = [&file](const char* name, const process::peer_address& to) {
        file << name << " = \"" << process::to_text(to) << "\"\n";
    };
    file << "name = \"" << at_.host << "\"\nfailure_domain = \"" << domain
         << "\"\n"
         << "service = \"" << service << "\"\n";
    address("backend_address", backend);
    address("caller_address", at_.callers());
    address("peer_address", at_.peers());
    address("announce_address", at_.announcements());
    address("readiness_address", at_.readiness());
    address("metrics_address", at_.metrics());
    address("platform_address", store);
    file << "seeds = [";
    for (const auto& it : seeds)
        file << '"' << process::to_text(it) << "\", ";
    file << "]\nretry_ratio = 0.2\nretry_allowance = 50\nretry_window = 10\n"
            "shutdown_limit = 6\nisolation_limit = 5\nevacuation_limit = 3\n"
            "max_descriptors = 1024\n"
         << "cold_excess = " << cold.excess << "\ncold_slack = " << cold.slack
         << '\n';
    settings_ = file.str();
}

node_process::~node_process()
{
    if (running()) {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
    }
}

void node_process::start()
{
    std::ofstream(settings_file_)
        << settings_ << "fleet_is_new = "
        << (std::exchange(first_start_, false) ? "true" : "false") << '\n';
    std::vector<std::string> words{program_, "--config", settings_file_};
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& it : words)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                       log_file_.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    end_expected_ = false;
    if (::posix_spawn(&id_, argv[0], &actions, nullptr, argv.data(), environ) !=
        0)
        throw std::runtime_error("can't start " + program_);
    ::posix_spawn_file_actions_destroy(&actions);
}

void node_process::signal(int number) const
{
    if (id_ > 0)
        ::kill(id_, number);
}

bool node_process::running()
{
    int status = 0;
    if (id_ > 0 && ::waitpid(id_, &status, WNOHANG) == id_) {
        id_ = 0;
        ended_unexpectedly_ |= !end_expected_;
    }
    return id_ > 0;
}

} // namespace shallotwood::soak
