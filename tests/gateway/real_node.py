"""Runs a scenario with a node of the stop soak, in real processes."""

import asyncio

from ..soak.run import end_leftover_tasks


def run_with(node, scenario):
    """Start a node, run `scenario` with it, and end its processes and tasks."""

    async def run():
        await node.start()
        try:
            return await scenario(node)
        finally:
            node.kill_nodes()
            await end_leftover_tasks()

    return asyncio.run(run())
