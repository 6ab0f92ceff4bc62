#pragma once

#include <cstddef>
#include <utility>

namespace currantpitch::core {

/// Bounds the memory of all messages of one kind that a process holds. A message may grow until it
/// is as large as the memory that is left, so that one large message is read while memory is free,
/// and many of them at once still leave room for small ones.
class memory_budget {
public:
    /// limit is in bytes.
    explicit memory_budget(std::size_t limit) : limit_(limit) {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// The memory of one message, which the destructor gives back.
    class share {
    public:
        explicit share(memory_budget& budget) : budget_(&budget) {}
        share(share&& other) noexcept
            : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0))
        {
        }
        share& operator=(share&& other) noexcept
        {
            std::swap(budget_, other.budget_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }
        ~share() { release(); }

        /// Adds bytes to the message. Returns false, without a change, if it would become too
        /// large.
        bool grow(std::size_t bytes)
        {
            const std::size_t left =
                budget_->limit_ > budget_->used_ ? budget_->limit_ - budget_->used_ : 0;
            if (bytes > left || bytes_ + bytes > left) {
                return false;
            }
            bytes_ += bytes;
            budget_->used_ += bytes;
            return true;
        }
        /// Gives the memory back.
        void release()
        {
            // An empty share may outlive the budget.
            if (bytes_ > 0) {
                budget_->used_ -= std::exchange(bytes_, 0);
            }
        }

    private:
        memory_budget* budget_;
        std::size_t bytes_ = 0;
    };

    std::size_t used() const { return used_; }
    /// Sets another limit. Messages that are held already may exceed it.
    void set_limit(std::size_t limit) { limit_ = limit; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace currantpitch::core
