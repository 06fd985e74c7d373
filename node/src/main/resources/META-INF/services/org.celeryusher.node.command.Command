org.celeryusher.node.command.NodeCommand
