// The platform's store as a stand-in: objects by kind and name, revisions,
// lists in pages, watches, and the faults that the store may show.
#pragma once

#include "connection/http/server_connection.hpp"
#include "process/callback_guard.hpp"

#include <json/json.h>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace shallotwood::test
{

class object_api
{
public:
    enum class fault {
        none,
        // 503; nothing is done.
        busy,
        // 429; nothing is done.
        many,
        // The connection is reset; nothing is done.
        reset,
        // Done, and never answered.
        answer_lost,
    };

    explicit object_api(process::loop::reactor& loop);

    process::peer_address address() const;

    // What somebody else writes; false if the text is no JSON.
    void put(const std::string& kind, const std::string& name,
             const Json::Value& spec);
    // Deletes an object, as somebody else does.
    void remove(const std::string& kind, const std::string& name);
    // The object is to be deleted, and exists until then.
    void mark_deletion(const std::string& kind, const std::string& name);
    // An item that another writer left in the list, as JSON text; it comes
    // first.
    void put_text(const std::string& kind, const std::string& item)
    {
        texts_[kind] = item;
    }
    // Keeps a copy of all objects, from which the store is restored later: what
    // was written since is gone, and its revisions are given out again. Watches
    // that wait go on.
    void take_copy() { copy_ = {revision_, kinds_}; }
    void restore();
    // Watches from before now get 410.
    void drop_history() { history_from_ = revision_ + 1; }

    fault now = fault::none;
    // The response to the next watch that an event ends is lost.
    bool lose_next_event = false;
    std::size_t page = 500;
    int calls = 0;

private:
    struct object {
        std::uint64_t revision = 0;
        Json::Value spec;
        bool deletion_pending = false;
        // Gone; kept for the event.
        bool deleted = false;
    };
    struct waiting_watch {
        std::string kind;
        std::uint64_t from = 0;
        std::uint64_t number = 0;
        std::weak_ptr<connection::http::server_connection> to;
    };
    class call;
    using connection_ptr = std::shared_ptr<connection::http::server_connection>;

    void handle(const connection_ptr& to,
                const connection::http::request_head& head,
                const std::string& body);
    void get(const connection_ptr& to, const std::string& kind,
             const std::string& name,
             const std::map<std::string, std::string>& query);
    void write(const connection_ptr& to, const std::string& method,
               const std::string& kind, std::string name,
               const std::string& body);
    void answer(const connection_ptr& to, int status, const Json::Value& body);
    void answer_text(const connection_ptr& to, int status,
                     const std::string& body);
    Json::Value to_json(const std::string& name, const object& of) const;
    Json::Value events_since(const std::string& kind, std::uint64_t from) const;
    void wake();
    // Answers a watch that has waited long enough.
    void end_watch(std::uint64_t number);

    process::loop::reactor& loop_;
    connection::http::server server_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_from_ = 0;
    std::map<std::string, std::map<std::string, object>> kinds_;
    decltype(kinds_) deleted_;
    std::map<std::string, std::string> texts_;
    std::vector<waiting_watch> watches_;
    std::pair<std::uint64_t, decltype(kinds_)> copy_;
    std::uint64_t era_ = 1;
    std::uint64_t last_watch_ = 0;
    process::callback_guard guard_;
};

} // namespace shallotwood::test
