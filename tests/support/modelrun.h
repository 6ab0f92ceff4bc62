#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace currantpitch::testing {

/// Supplies the choices of a model test from a list of random numbers that RapidCheck can shrink.
class script {
public:
    explicit script(const std::vector<std::uint32_t>& numbers) : numbers_(numbers) {}

    bool done() const { return position_ >= numbers_.size(); }
    /// Takes the next random number, from which the choices of one command are derived.
    void next_command() { word_ = numbers_[position_++]; }
    /// Returns a number below the bound.
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

/// Maximum number of commands in one run of a model.
inline constexpr int max_commands = 300;

/// Runs a model on random command lists and prints the total number of commands. The model is
/// called as model(script&) and checks with RC_ASSERT.
template <class Model>
bool check_model(const std::string& name, Model model)
{
    std::uint64_t commands = 0;
    const bool passed = rc::check(name, [&commands, &model] {
        const std::vector<std::uint32_t> numbers = *rc::gen::resize(
            max_commands, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::resize(
                              rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>())));
        commands += numbers.size();
        script s(numbers);
        model(s);
    });
    std::printf("model=\"%s\" commands=%llu held=%s\n", name.c_str(),
                static_cast<unsigned long long>(commands), passed ? "yes" : "no");
    return passed;
}

} // namespace currantpitch::testing
