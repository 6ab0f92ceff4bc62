#pragma once

#include <cstddef>
#include <utility>

namespace currantpitch::proxy {

/// Bounds the memory of all answers that one process has read and not yet forwarded. An answer may
/// grow until it is as large as the memory that is left, so that one large answer is read while
/// memory is free, and many of them at once still leave room for small ones.
class answer_memory {
public:
    /// limit is in bytes.
    explicit answer_memory(std::size_t limit) : limit_(limit) {}
    answer_memory(const answer_memory&) = delete;
    answer_memory& operator=(const answer_memory&) = delete;

    /// The memory of one answer, which the destructor gives back.
    class share {
    public:
        explicit share(answer_memory& memory) : memory_(&memory) {}
        share(share&& other) noexcept
            : memory_(other.memory_), bytes_(std::exchange(other.bytes_, 0))
        {
        }
        share& operator=(share&& other) noexcept
        {
            std::swap(memory_, other.memory_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }
        ~share() { memory_->used_ -= bytes_; }

        /// Adds bytes to the answer. Returns false, without a change, if it would become too large.
        bool grow(std::size_t bytes)
        {
            const std::size_t left = memory_->limit_ - memory_->used_;
            if (bytes_ + bytes > left || bytes > left) {
                return false;
            }
            bytes_ += bytes;
            memory_->used_ += bytes;
            return true;
        }

    private:
        answer_memory* memory_;
        std::size_t bytes_ = 0;
    };

    std::size_t used() const { return used_; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace currantpitch::proxy
