#include "agent/agentconfiguration.h"

#include <set>

namespace currantpitch::agent {

bool agent_configuration_store::take(const intents::agent_configuration& message)
{
    bool changed = false;
    std::set<objectstore::object_key> named;
    for (const objectstore::object& o : message.objects) {
        named.insert(o.key);
        core::revision& held = versions_[o.key];
        if (o.version > held) {
            held = o.version;
            catalog_.update(o);
            changed = true;
        }
    }
    if (message.complete < revision_) {
        return changed;
    }
    revision_ = message.complete;
    // The newest message names everything that concerns the agent; the rest is gone.
    for (const std::pair<const objectstore::object_key, core::revision>& entry : versions_) {
        if (!named.contains(entry.first)) {
            catalog_.update(objectstore::object{entry.first, entry.second, "", true});
            changed = true;
        }
    }
    return changed;
}

} // namespace currantpitch::agent
