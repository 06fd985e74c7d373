org.celeryusher.node.command.NodeCommand
org.celeryusher.node.command.CheckCommand
org.celeryusher.node.command.ExplainCommand
org.celeryusher.node.command.ErrorsCommand
org.celeryusher.node.command.StatusCommand
org.celeryusher.node.command.RouteCommand
