#pragma once

#include <support/ScriptedServer.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace sailpath::standins
{
////////////////////////////////////////////////////////////
/// \brief What the store stand-in does wrong
////////////////////////////////////////////////////////////
enum class StoreFault
{
    None,       //!< Nothing
    Refuse,     //!< Answers 503
    TooMany,    //!< Answers 429
    Silent,     //!< Never answers
    LostAnswer, //!< Ends the connection in place of the answer
    Garbled     //!< Answers what is no JSON
};

////////////////////////////////////////////////////////////
/// \brief A small stand-in for the platform's metadata store: range with paging, watch with resume and 410
////////////////////////////////////////////////////////////
class StoreStandIn
{
public:
    explicit StoreStandIn(std::size_t page = 500);

    void put(const std::string& key, const std::string& value); //!< Write an item
    void remove(const std::string& key);                        //!< Remove one
    void forgetHistory();                                       //!< Watches from before now get 410
    void setFault(StoreFault fault);                            //!< From the next call on

    [[nodiscard]] std::uint16_t port() const;     //!< On 127.0.0.1
    [[nodiscard]] std::size_t   calls() const;    //!< So far
    [[nodiscard]] std::size_t   oldReads() const; //!< Of these, pages that may be old

private:
    struct Item
    {
        std::string   value;
        std::uint64_t revision{0};
        bool          gone{false};
    };

    [[nodiscard]] support::Script answer(const std::string& request);
    [[nodiscard]] support::Script range(const std::string& target);
    [[nodiscard]] support::Script watch(const std::string& target);

    std::size_t                 m_page;                    //!< Items of one page
    mutable std::mutex          m_mutex;                   //!< Guards what follows
    std::condition_variable     m_changed;                 //!< A change was made
    std::map<std::string, Item> m_items;                   //!< By key
    std::uint64_t               m_revision{1};             //!< Of the last change
    std::uint64_t               m_forgotten{0};            //!< History up to here is gone
    std::size_t                 m_oldReads{0};             //!< Pages that may be old
    StoreFault                  m_fault{StoreFault::None}; //!< What goes wrong
    support::ScriptedServer     m_server;                  //!< Listens
};

} // namespace sailpath::standins
