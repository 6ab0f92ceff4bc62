#include "agent/agentconfiguration.h"

#include <set>

namespace currantpitch::agent {

bool agent_configuration_store::apply(const intents::agent_configuration& message)
{
    bool changed = false;
    std::set<objectstore::object_key> listed;
    for (const objectstore::object& o : message.objects) {
        listed.insert(o.key);
        core::revision& version = versions_[o.key];
        if (o.version > version) {
            version = o.version;
            catalog_.update(o);
            changed = true;
        }
    }
    if (message.complete < revision_) {
        return changed;
    }
    revision_ = message.complete;
    // The newest message lists all objects that concern the agent, so all others were removed.
    for (const std::pair<const objectstore::object_key, core::revision>& entry : versions_) {
        if (!listed.contains(entry.first)) {
            catalog_.update(objectstore::object{entry.first, entry.second, "", true});
            changed = true;
        }
    }
    return changed;
}

} // namespace currantpitch::agent
