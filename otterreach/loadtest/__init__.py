"""The whole system on one machine, with stand-ins for servers, clients, trainers and the operator."""
