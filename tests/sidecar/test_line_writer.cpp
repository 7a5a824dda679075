#include "process/telemetry/line_writer.hpp"

#include <catch2/catch.hpp>
#include <climits>
#include <fcntl.h>
#include <unistd.h>

namespace shallotwood::test
{

using process::telemetry::line_writer;

namespace
{

struct pipe_fixture {
    pipe_fixture()
    {
        int fds[2];
        REQUIRE(pipe2(fds, O_NONBLOCK) == 0);
        reader = fds[0];
        writer = fds[1];
        // The least that the kernel grants: one page.
        fcntl(writer, F_SETPIPE_SZ, PIPE_BUF);
    }
    ~pipe_fixture()
    {
        ::close(reader);
        ::close(writer);
    }

    std::string read_some(std::size_t bytes) const
    {
        std::string buf(bytes, 0);
        auto n = ::read(reader, buf.data(), buf.size());
        buf.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return buf;
    }

    int reader = -1;
    int writer = -1;
};

} // namespace

TEST_CASE("a slow reader of the log sees whole lines only")
{
    pipe_fixture pipe;
    line_writer lines(pipe.writer);
    std::string line(150, 'x');
    std::string seen;
    int appended = 0;
    for (int turn = 0; turn < 200; ++turn) {
        for (int n = 0; n < 5; ++n)
            appended += lines.append(line) ? 1 : 0;
        lines.flush();
        // The process may be killed now: what the pipe holds ends with a line.
        auto got = pipe.read_some(PIPE_BUF * 16);
        seen += got;
        CHECK((got.empty() || got.back() == '\n'));
        CHECK(seen.size() % (line.size() + 1) == 0);
    }
    while (lines.pending() > 0) {
        seen += pipe.read_some(PIPE_BUF * 16);
        lines.flush();
    }
    seen += pipe.read_some(PIPE_BUF * 16);
    CHECK(seen.size() ==
          static_cast<std::size_t>(appended) * (line.size() + 1));
}

TEST_CASE("a reader that takes a part of a page gets no torn line")
{
    pipe_fixture pipe;
    line_writer lines(pipe.writer);
    std::string line(999, 'x');
    for (int n = 0; n < 40; ++n)
        lines.append(line);
    // Makes room for parts of lines.
    for (int turn = 0; turn < 40; ++turn) {
        lines.flush();
        auto before = lines.pending();
        pipe.read_some(700);
        lines.flush();
        CHECK((before - lines.pending()) % (line.size() + 1) == 0);
    }
}

TEST_CASE("lines of the log are dropped whole when too much is pending")
{
    pipe_fixture pipe;
    line_writer lines(pipe.writer);
    std::string line(1000, 'x');
    int dropped = 0;
    for (int n = 0; n < 200; ++n) {
        dropped += lines.append(line) ? 0 : 1;
        lines.flush();
    }
    CHECK(dropped > 0);
    CHECK(lines.pending() <= line_writer::max_pending_bytes + 1);
    CHECK(lines.pending() % (line.size() + 1) == 0);
}

} // namespace shallotwood::test
