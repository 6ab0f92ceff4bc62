#include "core/counters.h"

#include <compare>
#include <map>
#include <sstream>
#include <utility>

namespace currantpitch::core {

namespace {

struct series_key {
    std::string name;
    std::string label;

    friend std::strong_ordering operator<=>(const series_key&, const series_key&) = default;
};

template <class Series>
std::map<series_key, Series>& all()
{
    static std::map<series_key, Series> instance;
    return instance;
}

template <class Series>
void write(std::ostringstream& out, std::string_view type)
{
    std::string last_name;
    for (const std::pair<const series_key, Series>& entry : all<Series>()) {
        if (entry.first.name != last_name) {
            out << "# TYPE currantpitch_" << entry.first.name << ' ' << type << '\n';
            last_name = entry.first.name;
        }
        out << "currantpitch_" << entry.first.name;
        if (!entry.first.label.empty()) {
            out << '{' << entry.first.label << '}';
        }
        out << ' ' << entry.second.value() << '\n';
    }
}

} // namespace

counter& counter_for(std::string_view name, std::string_view label)
{
    return all<counter>()[series_key{std::string(name), std::string(label)}];
}

gauge& gauge_for(std::string_view name, std::string_view label)
{
    return all<gauge>()[series_key{std::string(name), std::string(label)}];
}

std::string metrics_text()
{
    std::ostringstream out;
    write<counter>(out, "counter");
    write<gauge>(out, "gauge");
    return out.str();
}

} // namespace currantpitch::core
