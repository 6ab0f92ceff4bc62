#pragma once

#include "entry/agentdirectory.h"
#include "entry/entrycontext.h"
#include "http/serverconnection.h"
#include "routing/streamprogress.h"

namespace currantpitch::entry {

/// A generation that has been checked and may be admitted.
struct generation_request {
    core::workspace_id workspace;
    core::service_id service;
    std::string body;
    std::uint64_t prefix = 0;
    admission::fingerprint fingerprint;
    core::time_point deadline;
    /// Admitted beyond the workspace's own part.
    bool borrowed = false;
};

/// Tells other entries about crashes and clearances.
struct crash_sharing {
    std::function<void(const admission::crash_record&)> on_crash;
    std::function<void(const admission::fingerprint&)> on_clearance;
};

/// Carries one generation from its admission to exactly one outcome: a whole answer, a refusal
/// because nothing ran, or the statement that its outcome is not known. Moves to another endpoint
/// at the offset already delivered when an attempt fails.
class generation {
public:
    generation(entry_context& context, agent_directory& agents, const crash_sharing& sharing,
               http::server_connection& caller, generation_request request)
        : context_(context), agents_(agents), sharing_(sharing), caller_(caller),
          request_(std::move(request))
    {
    }

    core::task<void> run();

private:
    enum class attempt_result {
        whole,          ///< the answer is complete
        not_started,    ///< refused; nothing ran
        broken,         ///< it may have run a part; another endpoint can go on
        caller_is_gone, ///< nobody wants the rest
    };

    core::task<attempt_result> attempt(const routing::choice& where, bool isolated);
    core::task<attempt_result> follow(sessions::agent_link& link,
                                      std::shared_ptr<sessions::attempt_channel> channel);
    core::task<std::optional<attempt_result>> on_token(sessions::agent_link& link,
                                                       const sessions::token& t);
    core::task<attempt_result> on_end(const sessions::work_end& how);
    core::task<void> refuse();
    void log_choice(const routing::choice& where, bool isolated, int number);
    void note_crash(const core::endpoint_id& endpoint, const sessions::work_end& how,
                    bool isolated);
    core::time_point progress_deadline() const;

    entry_context& context_;
    agent_directory& agents_;
    const crash_sharing& sharing_;
    http::server_connection& caller_;
    generation_request request_;
    routing::stream_progress progress_;
    std::set<core::endpoint_id> excluded_;
    bool stream_begun_ = false;
    bool something_ran_ = false;
    bool was_suspect_ = false;
    std::string last_reason_ = "no endpoint can take the work";
    std::optional<sessions::work_end> last_end_;
};

} // namespace currantpitch::entry
