#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace currantpitch::testing {

/// Source of choices for a model test: a list of random numbers that RapidCheck can shrink.
class script {
public:
    explicit script(const std::vector<std::uint32_t>& numbers) : numbers_(numbers) {}

    bool done() const { return position_ >= numbers_.size(); }
    /// A number below the bound; each command takes one word and splits it into its choices.
    void next_command() { word_ = numbers_[position_++]; }
    std::size_t choose(std::size_t bound)
    {
        const std::size_t choice = word_ % bound;
        word_ /= static_cast<std::uint32_t>(bound);
        return choice;
    }

private:
    const std::vector<std::uint32_t>& numbers_;
    std::size_t position_ = 0;
    std::uint32_t word_ = 0;
};

/// Most commands in one run of a model.
inline constexpr int max_commands = 300;

/// Runs a model over random command lists and prints how many commands it took in all. The model
/// is called as model(script&) and asserts with RC_ASSERT.
template <class Model>
bool check_model(const std::string& name, Model model)
{
    std::uint64_t commands = 0;
    const bool held = rc::check(name, [&commands, &model] {
        const std::vector<std::uint32_t> numbers = *rc::gen::resize(
            max_commands, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::resize(
                              rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>())));
        commands += numbers.size();
        script s(numbers);
        model(s);
    });
    std::printf("model=\"%s\" commands=%llu held=%s\n", name.c_str(),
                static_cast<unsigned long long>(commands), held ? "yes" : "no");
    return held;
}

} // namespace currantpitch::testing
