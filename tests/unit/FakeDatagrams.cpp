/*
 * Delivery of datagrams between the fake hosts of unit tests.
 */
#include "FakeDatagrams.h"

namespace magnoliaspan::testing {

namespace {

constexpr Duration oneWay = std::chrono::milliseconds(12);

} // namespace

class FakeDatagrams::Port : public DatagramPort
{
public:
    Port(FakeDatagrams &network, Endpoint address)
        : network_(network)
        , address_(std::move(address))
    {
        network_.ports_[address_] = this;
    }

    ~Port() override
    {
        network_.ports_.erase(address_);
    }

    void send(const Endpoint &to, std::string_view datagram) override
    {
        ++network_.sent;
        network_.bytes += datagram.size();
        network_.largest = std::max(network_.largest, datagram.size());
        if (network_.shouldDeliver && !network_.shouldDeliver(address_, to)) {
            return;
        }
        network_.time_.callAt(network_.time_.now() + oneWay, [&network = network_, to, text = std::string(datagram)] {
            const auto found = network.ports_.find(to);
            if (found != network.ports_.end() && found->second->handler_) {
                found->second->handler_(text);
            }
        });
    }

    void setDatagramHandler(Handler handler) override
    {
        handler_ = std::move(handler);
    }

private:
    FakeDatagrams &network_;
    Endpoint address_;
    Handler handler_;
};

FakeDatagrams::FakeDatagrams(ManualTime &time)
    : time_(time)
{
}

std::unique_ptr<DatagramPort> FakeDatagrams::bind(const Endpoint &address)
{
    return std::make_unique<Port>(*this, address);
}

} // namespace magnoliaspan::testing
