"""A small deployment: two readers, two writers, discovery agents and one node, all on loopback."""

import asyncio

import peers
import stage

ENGINES = {"r1": "prefill", "r2": "prefill", "w1": "decode", "w2": "decode"}
FIRST_INDEX = 41


class Deployment:
    """The stand-ins of a case and its node. The first agent is the one that the node is told of."""

    def __init__(
        self, record, read_time=0.05, events=5, pause=0.05, agents=("agent",), engines=None, fleet=peers.Fleet
    ):
        self.record, self.engines = record, engines or ENGINES
        self.fleet = fleet(record, read_time, events, pause)
        ports = stage.free_ports(len(self.engines) + len(agents) + 1)
        self.engine_ports = dict(zip(self.engines, ports))
        self.entries = [stage.entry(name, self.engine_ports[name], kind) for name, kind in self.engines.items()]
        self.agent_ports = dict(zip(agents, ports[len(self.engines) :]))
        self.agents = {name: stage.Agent(record, name, self.entries, FIRST_INDEX) for name in agents}
        self.settings, self.node_port = stage.settings(), ports[-1]
        self.background = []
        self.node = self.new_node(agents[0])

    def new_node(self, agent):
        """A life of the node, with the list that it last had."""
        entries = [dict(entry) for entry in self.entries]
        return stage.Node(self.record, self.settings, entries, FIRST_INDEX, self.node_port, self.agent_ports[agent])

    async def start(self):
        for name, role in self.engines.items():
            await self.fleet.add(name, role, self.engine_ports[name])
        for name, agent in self.agents.items():
            await agent.listen(self.agent_ports[name])
            self.run(agent.keep_alive())
        await self.node.start()
        await self.node.wait_until_ready()

    def run(self, task):
        self.background.append(asyncio.create_task(task))
        return self.background[-1]

    async def stop(self):
        await stage.cancel(self.background)
        await self.node.stop()
