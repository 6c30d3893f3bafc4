"""Load test of the whole system on one machine, with simulated servers, clients, trainers and operator."""
