#include "RpcCodec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <map>

namespace hyssopwick {

namespace {

    std::string toText(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

    bool fromText(const std::string& text, Json::Value& value)
    {
        const Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        std::string errors;
        return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    }

    class CapturingConnector : public jsonrpc::IClientConnector {
    public:
        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
        {
            captured = message;
            result = response;
        }

        std::string captured;
        std::string response;
    };

}

struct RpcDispatcher::State : public jsonrpc::IProcedureInvokationHandler {
    State()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        const auto method = methods.find(procedure.GetProcedureName());
        try {
            fromText(method->second(toText(input)), output);
        } catch (const std::exception& exception) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, exception.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { }

    std::map<std::string, Method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

RpcDispatcher::RpcDispatcher()
    : m_state(new State)
{
}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::add(const std::string& name, Method method)
{
    m_state->methods[name] = std::move(method);
    jsonrpc::Procedure procedure;
    procedure.SetProcedureName(name);
    procedure.SetProcedureType(jsonrpc::RPC_METHOD);
    procedure.SetReturnType(jsonrpc::JSON_OBJECT);
    procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
    m_state->protocol->AddProcedure(procedure);
}

std::string RpcDispatcher::handle(const std::string& message)
{
    std::string response;
    m_state->protocol->HandleRequest(message, response);
    return response;
}

std::string buildRpcRequest(const std::string& method, const std::string& parameters)
{
    Json::Value value;
    fromText(parameters, value);
    CapturingConnector connector;
    connector.response = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}";
    jsonrpc::Client client(connector);
    client.CallMethod(method, value);
    return connector.captured;
}

bool parseRpcResponse(const std::string& message, std::string& result)
{
    CapturingConnector connector;
    connector.response = message;
    jsonrpc::Client client(connector);
    try {
        result = toText(client.CallMethod("", Json::Value(Json::objectValue)));
        return true;
    } catch (const std::exception& exception) {
        result = exception.what();
        return false;
    }
}

}
