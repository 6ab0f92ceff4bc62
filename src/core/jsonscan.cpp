#include "core/jsonscan.h"

#include <algorithm>

namespace currantpitch::core {

namespace {

/// Reads a JSON text from its begin. Every function returns false or an empty view at a text that
/// cannot be JSON.
class scanner {
public:
    explicit scanner(std::string_view text) : rest_(text) {}

    bool take(char expected)
    {
        skip_space();
        if (rest_.empty() || rest_.front() != expected) {
            return false;
        }
        rest_.remove_prefix(1);
        return true;
    }
    /// Reads a string and returns it with its quotes.
    std::string_view string()
    {
        skip_space();
        if (rest_.empty() || rest_.front() != '"') {
            return {};
        }
        std::size_t end = 1;
        while (end < rest_.size() && rest_[end] != '"') {
            end += rest_[end] == '\\' ? 2 : 1;
        }
        return end < rest_.size() ? take_prefix(end + 1) : std::string_view();
    }
    std::string_view value()
    {
        skip_space();
        const std::string_view start = rest_;
        std::size_t depth = 0;
        do {
            skip_space();
            if (rest_.empty()) {
                return {};
            }
            const char next = rest_.front();
            if (next == '"') {
                if (string().empty()) {
                    return {};
                }
            }
            else if (next == '{' || next == '[') {
                ++depth;
                rest_.remove_prefix(1);
            }
            else if (next == '}' || next == ']') {
                if (depth == 0) {
                    return {};
                }
                --depth;
                rest_.remove_prefix(1);
            }
            else if (depth > 0 && (next == ',' || next == ':')) {
                rest_.remove_prefix(1);
            }
            else if (take_prefix(rest_.find_first_of("{}[],:\" \t\r\n")).empty()) {
                return {};
            }
        } while (depth > 0);
        return start.substr(0, start.size() - rest_.size());
    }

private:
    void skip_space()
    {
        rest_.remove_prefix(std::min(rest_.find_first_not_of(" \t\r\n"), rest_.size()));
    }
    std::string_view take_prefix(std::size_t size)
    {
        const std::string_view taken = rest_.substr(0, size);
        rest_.remove_prefix(taken.size());
        return taken;
    }

    std::string_view rest_;
};

} // namespace

std::optional<std::string_view> json_member(std::string_view object, std::string_view name)
{
    scanner s(object);
    if (!s.take('{')) {
        return std::nullopt;
    }
    do {
        const std::string_view key = s.string();
        if (key.empty() || !s.take(':')) {
            return std::nullopt;
        }
        const std::string_view value = s.value();
        if (value.empty()) {
            return std::nullopt;
        }
        if (key.substr(1, key.size() - 2) == name) {
            return value;
        }
    } while (s.take(','));
    return std::nullopt;
}

std::optional<std::vector<std::string_view>> json_elements(std::string_view array)
{
    scanner s(array);
    std::vector<std::string_view> elements;
    if (!s.take('[')) {
        return std::nullopt;
    }
    if (s.take(']')) {
        return elements;
    }
    do {
        const std::string_view value = s.value();
        if (value.empty()) {
            return std::nullopt;
        }
        elements.push_back(value);
    } while (s.take(','));
    return s.take(']') ? std::optional<std::vector<std::string_view>>(std::move(elements))
                       : std::nullopt;
}

} // namespace currantpitch::core
