org.celeryusher.standin.command.StandInCommand
org.celeryusher.standin.demo.DemoCommand
