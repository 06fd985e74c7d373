org.celeryusher.standin.command.StandInCommand
org.celeryusher.standin.demo.DemoCommand
org.celeryusher.standin.measure.MeasureCommand
