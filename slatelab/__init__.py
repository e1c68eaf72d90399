"""slatelab: model of the plant, load generator and judge of the project. It may import slatehub and paddlestep; neither
of them may import it. It uses only network addresses in 127.0.0.0/8."""
