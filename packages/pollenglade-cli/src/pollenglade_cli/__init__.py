"""The pollenglade command for operators."""
