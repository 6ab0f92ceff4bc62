#pragma once

#include "entry/agentdirectory.h"
#include "entry/entrycontext.h"
#include "http/serverconnection.h"
#include "routing/streamprogress.h"

namespace currantpitch::entry {

/// A validated generation request.
struct generation_request {
    core::workspace_id workspace;
    core::service_id service;
    std::string body;
    std::uint64_t prefix = 0;
    admission::fingerprint fingerprint;
    core::time_point deadline;
    /// Whether it was admitted beyond the fair share of the workspace.
    bool borrowed = false;
};

/// Callbacks that announce crashes and clearances to the other entries.
struct crash_listener {
    std::function<void(const admission::crash_record&)> on_crash;
    std::function<void(const admission::fingerprint&)> on_clearance;
};

/// Executes one admitted generation. It ends with exactly one outcome: a complete answer, a refusal
/// because nothing ran, or an unknown outcome. When an attempt fails, another endpoint resumes the
/// generation at the offset already delivered.
class generation {
public:
    generation(entry_context& context, agent_directory& agents, const crash_listener& listener,
               http::server_connection& caller, generation_request request)
        : context_(context), agents_(agents), crash_listener_(listener), caller_(caller),
          request_(std::move(request))
    {
    }

    core::task<void> run();

private:
    enum class attempt_result {
        completed,           ///< the answer is complete
        not_started,         ///< refused by the agent or not sent; nothing ran
        interrupted,         ///< may have run in part; another endpoint can resume it
        caller_disconnected, ///< the caller closed its connection; the rest is not needed
    };

    core::task<attempt_result> attempt(const routing::choice& choice, bool isolated);
    core::task<attempt_result> process_events(sessions::agent_link& link,
                                              std::shared_ptr<sessions::attempt_channel> channel);
    core::task<std::optional<attempt_result>> on_token(sessions::agent_link& link,
                                                       const sessions::token& t);
    core::task<attempt_result> on_end(const sessions::work_end& end);
    core::task<void> reply_failure();
    void log_choice(const routing::choice& choice, bool isolated, int attempt_index);
    void report_crash(const core::endpoint_id& endpoint, const sessions::work_end& end,
                      bool isolated);
    core::time_point progress_deadline() const;

    entry_context& context_;
    agent_directory& agents_;
    const crash_listener& crash_listener_;
    http::server_connection& caller_;
    generation_request request_;
    routing::stream_progress progress_;
    std::set<core::endpoint_id> excluded_;
    bool stream_begun_ = false;
    bool may_have_run_ = false;
    bool was_suspect_ = false;
    std::string failure_reason_ = "no endpoint can take the work";
    std::optional<sessions::work_end> last_end_;
};

} // namespace currantpitch::entry
